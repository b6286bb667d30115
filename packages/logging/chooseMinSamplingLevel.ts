/** Part of the bound for lines of jobs and others together. The rest absorbs sudden rises, since the rates are of the past. */
const USABLE_PART = 0.75;
/** Part of the bound that sampled jobs have in any case. */
const MIN_JOB_PART = 0.1;
/** One in 65,536 jobs. Beyond it the token bucket alone bounds the rate. */
const MAX_LEVEL = 16;

/** Chooses the sampling level from which on jobs are logged completely, so that their lines fit into the bound. Rates are in lines per second. */
export const chooseMinSamplingLevel = (bound: number, jobLineRate: number, otherRate: number): number => {
  const available = Math.max(bound * MIN_JOB_PART, bound * USABLE_PART - otherRate);
  const level = Math.ceil(Math.log2(Math.max(1, jobLineRate / available)));
  return Math.min(MAX_LEVEL, level);
};
