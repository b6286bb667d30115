/** An endpoint that the request may include. */
interface RequestCandidate {
  /** Number of the step's tasks that fit on the endpoint. */
  readonly taskCount: number;
  /** Probability that the endpoint is allowed and that the tasks fit there when the response arrives. */
  readonly usableChance: number;
}

/** Time that a request takes, and its maximum size. */
interface RequestCosts {
  /** Time that each request takes apart from its candidates, in milliseconds. */
  readonly fixedMs: number;
  /** Time that each candidate adds, in milliseconds. */
  readonly perEndpointMs: number;
  readonly maxCandidates: number;
}

/** Scales the logistic function to approximate the normal distribution function. */
const LOGISTIC_SLOPE = 1.702;

/** Returns the approximate probability that a normally distributed value with a mean and a variance is at least `needed`. */
const computeReachChance = (mean: number, variance: number, needed: number): number =>
  variance === 0
    ? Number(mean >= needed)
    : 1 / (1 + Math.exp((-LOGISTIC_SLOPE * (mean - needed)) / Math.sqrt(variance)));

/**
 * Returns how many of the candidates, which are sorted with the best first, one request should include for `needed` tasks. Includes those
 * whose expected number of usable places does not exceed `needed`, then further ones while each saves more time, by making another request
 * less likely, than it adds.
 */
export const chooseRequestSize = (
  candidates: readonly RequestCandidate[],
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
