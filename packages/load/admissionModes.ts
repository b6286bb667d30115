import type { AdmissionMode } from './AdmissionMode';

interface AdmissionRules {
  /** Leaders publish their load to all boxes. */
  readonly isLoadPublished: boolean;
  readonly canRefuseJobs: boolean;
}

/** Whether load digests are published and jobs may be refused, by admission mode. */
export const admissionModes: Readonly<Record<AdmissionMode, AdmissionRules>> = {
  open: { isLoadPublished: false, canRefuseJobs: false },
  watch: { isLoadPublished: true, canRefuseJobs: false },
  load: { isLoadPublished: true, canRefuseJobs: true },
};
