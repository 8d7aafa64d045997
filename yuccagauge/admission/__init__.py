"""Admission control by limits, priorities and deadlines; retry budgets."""

from yuccagauge.admission.base import (
    AdmissionPolicy,
    AdmissionRequest,
    admission_policies,
)
from yuccagauge.admission.deadline import DeadlinePolicy
from yuccagauge.admission.open import OpenPolicy
from yuccagauge.admission.retries import RetryBudget

__all__ = (
    'AdmissionPolicy',
    'AdmissionRequest',
    'DeadlinePolicy',
    'OpenPolicy',
    'RetryBudget',
    'admission_policies',
)
