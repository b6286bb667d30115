/** What naming one endpoint may give. */
interface Offer {
  /** Tasks for which it has room, as far as that is known. */
  readonly places: number;
  /** Chance that the step may use it, and that the room is still there. */
  readonly chance: number;
}

interface QuestionCosts {
  /** Time of another question, before it names any endpoint, in milliseconds. */
  readonly roundMs: number;
  readonly perEndpointMs: number;
  readonly maxNamed: number;
}

/** Makes the logistic curve follow the normal distribution. */
const LOGISTIC_SLOPE = 1.702;

/** Chance that a sum of many independent offers reaches what is needed. */
const toChanceOfEnough = (mean: number, variance: number, needed: number): number =>
  variance === 0
    ? Number(mean >= needed)
    : 1 / (1 + Math.exp((-LOGISTIC_SLOPE * (mean - needed)) / Math.sqrt(variance)));

/**
 * How many of some offers, the best first, one question should name: as many as are needed in the mean, and each one more that
 * spares more time, by making another round less likely, than it takes.
 */
export const chooseQuestionSize = (
  offers: readonly Offer[],
  needed: number,
  costs: QuestionCosts,
): number => {
  let mean = 0;
  let variance = 0;
  let chanceBefore = 0;
  let count = 0;
  for (const { places, chance } of offers.slice(0, costs.maxNamed)) {
    mean += places * chance;
    variance += places * places * chance * (1 - chance);
    const chanceOfEnough = toChanceOfEnough(mean, variance, needed);
    const isWorthIt = (chanceOfEnough - chanceBefore) * costs.roundMs > costs.perEndpointMs;
    if (mean > needed && !isWorthIt) {
      break;
    }
    chanceBefore = chanceOfEnough;
    count += 1;
  }
  return count;
};
