import type { waitMetricNames } from './waiting/waitMetricNames';
import type { WaitCause } from './waiting/WaitCause';

/**
 * Name of a duration that a leader measures for the metrics.
 * - `startMs`: from sending a start command to its result.
 * - `roundMs`: one scheduling round.
 * - the rest: the wait for a start, by cause.
 */
export type LeaderDurationName = 'startMs' | 'roundMs' | (typeof waitMetricNames)[WaitCause];
