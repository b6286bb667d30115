import type { AdmissionMode } from './AdmissionMode';

interface DoorRules {
  /** Leaders tell all boxes of their load. */
  readonly isLoadPublished: boolean;
  readonly canRefuse: boolean;
}

/** What each way of taking jobs in does. */
export const admissionModes: Readonly<Record<AdmissionMode, DoorRules>> = {
  open: { isLoadPublished: false, canRefuse: false },
  watch: { isLoadPublished: true, canRefuse: false },
  load: { isLoadPublished: true, canRefuse: true },
};
