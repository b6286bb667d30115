import type { waitMetricNames } from './waiting/waitMetricNames';
import type { WaitCause } from './waiting/WaitCause';

/**
 * Name of a duration that a leader measures for the metrics.
 * - `startMs`: from sending a start command to its result.
 * - `roundMs`: one scheduling round.
 * - names of `waitMetricNames`: how long a started task waited, by cause of the wait.
 */
export type LeaderDurationName = 'startMs' | 'roundMs' | (typeof waitMetricNames)[WaitCause];
