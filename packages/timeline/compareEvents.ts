import type { TimelineEvent } from './TimelineEvent';

/** Compares two events by hybrid time, then by box id. */
export const compareEvents = (left: TimelineEvent, right: TimelineEvent): number =>
  left.stamp.ms - right.stamp.ms || left.stamp.count - right.stamp.count || (left.box < right.box ? -1 : 1);
