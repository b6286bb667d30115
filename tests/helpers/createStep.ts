import type { JobStep } from '../../packages/jobs/JobStep';

/** Creates a step of two small tasks, with some fields replaced. */
export const createStep = (fields: Partial<JobStep> = {}): JobStep => ({
  count: 2,
  demand: { cpuMillis: 1000, memoryMb: 100, accelerators: 0 },
  estimatedMs: 400,
  dependsOn: [],
  isGang: false,
  isSameRack: false,
  requiredLabel: '',
  dataRack: '',
  maxPerEndpoint: 0,
  allowsDuplicates: false,
  isLongRunning: false,
  isCheckpointing: false,
  image: '',
  targetMs: 0,
  isFiller: false,
  missAllowed: 0,
  ...fields,
});
