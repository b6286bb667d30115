import { isCutShort } from './isCutShort';
import { isWorthStopping } from './isWorthStopping';
import { measureStopCost } from './measureStopCost';
import { findStragglerReason } from '../runs/findStragglerReason';
import type { StopPolicyName } from './StopPolicyName';
import type { StopPolicy } from './StopPolicy';

const WHOLE = 100;
/** A leaving endpoint is left so long before its time is over, in milliseconds. */
const LEAVE_MARGIN_MS = 700;
/** A stop may take 900 ms by the platform's bounds, and one that is lost is repeated after 200 ms. */
const SAFE_LEAVE_MARGIN_MS = 1300;
/** A stop takes up to 900 ms by the platform's bounds; then come the look that shows its end, and a round. */
const LONGEST_STOP_MS = 1200;
/** Tickets must hold for so long that a usual stop, a look and a round pass; a gang seldom has so many that hold for the longest stop. */
const TICKET_MS = 600;
/** Beyond the time for which room is kept. */
const RETRY_MS = 3000;
/** Where more than this share of all runs seems slow, the whole fleet is, and moves gain nothing. */
const MOVING_SHARE = 0.05;
/** Less than this done since a stop, and the next one would undo what the restart cost. */
const MIN_WORK_MS = 1000;

/** The ways of choosing what is stopped. */
export const stopPolicies: Readonly<Record<StopPolicyName, StopPolicy>> = {
  ranked: {
    isEvictionDue: (input) => isCutShort(input, LEAVE_MARGIN_MS),
    findMoveReason: (input) => findStragglerReason(input),
    preemption: {
      measureCost: () => 1,
      isWorthStopping: () => true,
      isTrimming: false,
      minWorkMs: 0,
      keepMs: 1200,
      ticketMs: TICKET_MS,
      retryMs: 0,
    },
    isMovingGangs: false,
    isUsingRunTimes: false,
    maxMovingShare: 1,
    isQuarantining: false,
  },
  priced: {
    isEvictionDue: (input) => isCutShort(input, SAFE_LEAVE_MARGIN_MS),
    findMoveReason: (input) =>
      findStragglerReason({ ...input, restartPercent: input.isSaving ? WHOLE - input.percent : WHOLE }),
    preemption: {
      measureCost: measureStopCost,
      isWorthStopping,
      isTrimming: true,
      minWorkMs: MIN_WORK_MS,
      keepMs: 2 * LONGEST_STOP_MS,
      ticketMs: TICKET_MS,
      retryMs: RETRY_MS,
    },
    isMovingGangs: true,
    isUsingRunTimes: true,
    maxMovingShare: MOVING_SHARE,
    isQuarantining: true,
  },
};
