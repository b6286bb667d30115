import type { TimelineEvent } from './TimelineEvent';

/** Orders two events by hybrid time, then by box, so that every reader merges alike. */
export const checkStampOrder = (left: TimelineEvent, right: TimelineEvent): number =>
  left.stamp.ms - right.stamp.ms || left.stamp.count - right.stamp.count || (left.box < right.box ? -1 : 1);
