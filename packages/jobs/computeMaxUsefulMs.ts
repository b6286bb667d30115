/** Callers still have use for what ends within so many times its objective. */
const USEFUL_FACTOR = 3;

/** How long after its begin the end of a job is of use to its caller, by its objective; both in milliseconds. */
export const computeMaxUsefulMs = (objectiveMs: number): number => USEFUL_FACTOR * objectiveMs;
