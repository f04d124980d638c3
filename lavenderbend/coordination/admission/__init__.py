"""Admission: owners of upstream groups grant permits to entry routers."""

from __future__ import annotations

from lavenderbend.coordination.admission.service import OwnerAdmission
from lavenderbend.coordination.admission.settings import AdmissionSettings

__all__ = ['AdmissionSettings', 'OwnerAdmission']
