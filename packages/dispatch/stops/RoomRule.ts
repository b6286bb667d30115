import type { PreemptionEstimate } from './PreemptionEstimate';

/** How room is made by stopping less urgent work. */
export interface RoomRule {
  /** What a stop of one run counts; of the plans that make room the one with the smallest sum is taken. */
  readonly measureCost: (run: StoppableRun) => number;
  readonly isWorthStopping: (price: PreemptionEstimate) => boolean;
  /** Runs that need not go after all, once others go, stay. */
  readonly isTrimming: boolean;
  /** A run that was stopped before has worked for so long since, in milliseconds, before it is stopped again. */
  readonly minWorkMs: number;
  /** Room that is being made is kept for so long, in milliseconds. */
  readonly keepMs: number;
  /** A ticket must hold for so long that room can be made meanwhile, in milliseconds. */
  readonly ticketMs: number;
  /** Room for a step is made again after so many milliseconds, doubled each time, when it could not start. */
  readonly retryMs: number;
}

/** A run that may be stopped. */
interface StoppableRun {
  readonly cpuMillis: number;
  /** Time for which it has worked, in milliseconds. */
  readonly workedMs: number;
  /** A stop saves what it has done. */
  readonly isSaving: boolean;
}
