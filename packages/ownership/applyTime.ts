import type { UnitId } from '../common/UnitId';
import { isEnded } from './isEnded';
import type { OwnershipRules } from './OwnershipRules';
import type { OwnershipState } from './OwnershipState';
import type { OwnershipTimings } from './OwnershipTimings';
import { OWNERSHIP } from './constants';
import type { UnitState } from './UnitState';

interface TimeContext {
  readonly rules: OwnershipRules;
  readonly timings: OwnershipTimings;
  readonly now: number;
}

const toLongestRun = (unit: UnitId, timings: OwnershipTimings): number =>
  unit.startsWith(OWNERSHIP.seatPrefix) ? timings.seatLeaseMs : timings.longestTaskMs;

const hasAllStatements = (state: OwnershipState, rules: OwnershipRules): boolean => {
  const view = state.view;
  if (view === undefined) {
    return false;
  }
  const others = view.members.filter((member) => member !== state.self && !isEnded(state, member));
  return others.every((member) => {
    const peer = state.peers.get(member);
    return peer !== undefined && rules.isStatementCurrent(peer, view.number);
  });
};

const applyForeignTime = (state: OwnershipState, unit: UnitState, context: TimeContext): void => {
  for (const [task, foreign] of unit.foreign) {
    if (foreign.endsAt <= context.now) {
      unit.foreign.delete(task);
      continue;
    }
    const isHolderGone = isEnded(state, foreign.holder) || !state.view?.members.includes(foreign.holder);
    if (
      foreign.endsAt === Infinity &&
      isHolderGone &&
      context.rules.hasWaitedOut(state, context.now, context.timings)
    ) {
      const endsAt = context.now + context.timings.seatLeaseMs + context.timings.marginMs;
      unit.foreign.set(task, { ...foreign, endsAt });
    }
  }
};

/** Lets time do its work: units become clear and settled, tasks of others run out. */
export const applyTime = (state: OwnershipState, context: TimeContext): void => {
  const { rules, timings, now } = context;
  const isClear = hasAllStatements(state, rules) && rules.hasWaitedOut(state, now, timings);
  for (const [id, unit] of state.units) {
    if (unit.clearAt === undefined && isClear) {
      unit.clearAt = now;
    }
    if (unit.clearAt !== undefined && now >= unit.clearAt + toLongestRun(id, timings) + timings.marginMs) {
      unit.isSettled = true;
    }
    applyForeignTime(state, unit, context);
  }
};
