/** Share of the bound that lines of jobs and other lines may use together. The rest absorbs sudden rises. */
const USABLE_BOUND_SHARE = 0.75;
/** Share of the bound that lines of sampled jobs have in any case. */
const MIN_JOB_LINE_SHARE = 0.1;
/** Maximum sampling level: one in 65,536 jobs. Beyond it the token bucket alone bounds the rate. */
const MAX_SAMPLING_LEVEL = 16;

/**
 * Chooses the lowest sampling level of the jobs that are logged completely, so that their lines fit into the bound. Bound and rates are in
 * lines per second.
 */
export const chooseMinSamplingLevel = (bound: number, jobLineRate: number, otherRate: number): number => {
  const available = Math.max(bound * MIN_JOB_LINE_SHARE, bound * USABLE_BOUND_SHARE - otherRate);
  const level = Math.ceil(Math.log2(Math.max(1, jobLineRate / available)));
  return Math.min(MAX_SAMPLING_LEVEL, level);
};
