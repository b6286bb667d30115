import type { waitMetricNames } from './waiting/waitMetricNames';
import type { WaitCause } from './waiting/WaitCause';

/** Times that a leader measures: `startMs` is the answer to a start order, `roundMs` a round, the others are parts of the wait for a start. */
export type LeaderDurationName = 'startMs' | 'roundMs' | (typeof waitMetricNames)[WaitCause];
