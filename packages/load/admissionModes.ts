import type { AdmissionMode } from './AdmissionMode';

interface AdmissionRules {
  /** Leaders publish their load to all boxes. */
  readonly isLoadPublished: boolean;
  readonly canRefuse: boolean;
}

/** Rules of each admission mode. */
export const admissionModes: Readonly<Record<AdmissionMode, AdmissionRules>> = {
  open: { isLoadPublished: false, canRefuse: false },
  watch: { isLoadPublished: true, canRefuse: false },
  load: { isLoadPublished: true, canRefuse: true },
};
