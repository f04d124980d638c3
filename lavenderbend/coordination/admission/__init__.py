"""Admission: permits from the owners of groups of upstreams."""

from __future__ import annotations

from lavenderbend.coordination.admission.service import OwnerAdmission
from lavenderbend.coordination.admission.settings import AdmissionSettings

__all__ = ['AdmissionSettings', 'OwnerAdmission']
