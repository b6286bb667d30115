/** An endpoint that the request may include. */
interface Candidate {
  /** Number of tasks that fit. */
  readonly taskCount: number;
  /** Probability that the endpoint is allowed and that they still fit when the response arrives. */
  readonly usableChance: number;
}

interface RequestCosts {
  /** Time of another request, without its candidates, in milliseconds. */
  readonly fixedMs: number;
  /** Time that each candidate adds, in milliseconds. */
  readonly perEndpointMs: number;
  readonly maxCandidates: number;
}

/** Scales the logistic function to approximate the normal distribution function. */
const LOGISTIC_SLOPE = 1.702;

/** Returns the probability that a normal value of a mean and a variance reaches what is needed. */
const computeReachChance = (mean: number, variance: number, needed: number): number =>
  variance === 0
    ? Number(mean >= needed)
    : 1 / (1 + Math.exp((-LOGISTIC_SLOPE * (mean - needed)) / Math.sqrt(variance)));

/**
 * Returns how many candidates, the best first, one request should include. Beyond those that suffice on average, a candidate is included
 * if it saves more time, by making another request less likely, than it adds.
 */
export const chooseRequestSize = (
  candidates: readonly Candidate[],
  needed: number,
  costs: RequestCosts,
): number => {
  let mean = 0;
  let variance = 0;
  let chanceBefore = 0;
  let count = 0;
  for (const { taskCount, usableChance } of candidates.slice(0, costs.maxCandidates)) {
    mean += taskCount * usableChance;
    variance += taskCount * taskCount * usableChance * (1 - usableChance);
    const reachChance = computeReachChance(mean, variance, needed);
    const isSavingTime = (reachChance - chanceBefore) * costs.fixedMs > costs.perEndpointMs;
    if (mean > needed && !isSavingTime) {
      break;
    }
    chanceBefore = reachChance;
    count += 1;
  }
  return count;
};
