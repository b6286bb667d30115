import type { RowName } from '../common/RowName';
import type { TeamName } from '../common/TeamName';
import type { RowClass } from './RowClass';

/** One workload of the operators' table: its weights and limits. */
export interface Row {
  readonly name: RowName;
  readonly class: RowClass;
  readonly team: TeamName;
  /** Share of placements against other rows of the same class and priority. */
  readonly weight: number;
  /** A higher number goes first within the class. */
  readonly priority: number;
  readonly cpus: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly slots: number;
  /** Most tasks running in the cell; 0 means no limit. */
  readonly maxRunning: number;
  /** Most requests waiting in one entry box. */
  readonly maxQueued: number;
  /** Most of an entry box's slots that the row may hold, in percent. */
  readonly maxSharePercent: number;
  /** Deadline of a request that names none, in milliseconds from its arrival. */
  readonly deadlineMs: number;
  /** How long one task is expected to run, in milliseconds. */
  readonly expectedMs: number;
  /** The worker ends a task after this time, in milliseconds. */
  readonly timeLimitMs: number;
  /** True when running a request twice does no harm. */
  readonly repeatable: boolean;
  /** `spread` shortens waiting, `pack` keeps whole workers free. */
  readonly placement: 'spread' | 'pack';
  /** True when a task may be stopped by checkpoint for more urgent work, and run again. */
  readonly preemptible: boolean;
  /** Copies to keep running; for class standing only. */
  readonly replicas: number;
}
