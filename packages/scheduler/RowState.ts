import type { RequestId } from '../common/RequestId';
import type { TeamName } from '../common/TeamName';
import type { Row } from '../table/Row';
import { SCHEDULER } from './constants';
import type { SchedulerRequest } from './SchedulerRequest';
import type { TeamLine } from './TeamLine';
import { RowQueue } from './RowQueue';

/** What the decision core keeps for one row. */
export class RowState {
  readonly lines = new Map<TeamName, TeamLine>();
  /** Running tasks, oldest first. */
  readonly running = new Set<RequestId>();
  /** Virtual time of the row's next turn among rows of its level. */
  pass = 0;
  waiting = 0;
  slotsHeld = 0;
  /** Moving average of run time, in milliseconds. */
  runMs: number;
  /** Moving average of the deviation of run times from their mean, in milliseconds. */
  runDeviationMs = 0;
  /** Moving average of the time between two starts while others wait, in milliseconds. */
  startGapMs = 0;
  lastStartAt = -Infinity;
  /** Stops by checkpoint asked for on behalf of this row and not yet done. */
  pendingYields = 0;
  isBlockedByLimit = false;

  constructor(public row: Row) {
    this.runMs = row.expectedMs;
  }

  /** Records the run time of a task that ended. */
  recordRun(ranMs: number): void {
    const part = SCHEDULER.runTimeSmoothing;
    this.runDeviationMs += part * (Math.abs(ranMs - this.runMs) - this.runDeviationMs);
    this.runMs += part * (ranMs - this.runMs);
  }

  /** A long run: few tasks take longer, in milliseconds. */
  readLongRunMs(): number {
    return Math.max(this.row.expectedMs, this.runMs + SCHEDULER.longRunDeviations * this.runDeviationMs);
  }

  /**
   * How long a new request of a team will wait here, in milliseconds. Teams take turns, so it waits for as many
   * rounds as its own team has requests waiting, and at most for all.
   */
  readTeamDrainMs(team: TeamName): number {
    const ahead = this.lines.get(team)?.queue.readLength() ?? 0;
    const rounds = (ahead + 1) * this.lines.size;
    return Math.min(this.waiting, rounds) * this.startGapMs;
  }

  /** Queues a request in its team's line. */
  queueRequest(request: SchedulerRequest): void {
    const line = this.lines.get(request.team) ?? this.createLine(request.team);
    if (line.queue.readLength() === 0) {
      line.pass = Math.max(line.pass, this.readLowestPass());
    }
    line.queue.queueRequest(request);
    this.waiting += 1;
  }

  /** Takes a waiting request out. Returns false when it was not waiting. */
  revokeRequest(request: SchedulerRequest): boolean {
    const line = this.lines.get(request.team);
    if (line === undefined || !line.queue.revokeRequest(request.id)) {
      return false;
    }
    this.waiting -= 1;
    if (line.queue.readLength() === 0) {
      this.lines.delete(request.team);
    }
    return true;
  }

  /** The waiting request whose turn it is among the teams that `isOpen` lets through. */
  readHead(isOpen: (team: TeamName) => boolean): SchedulerRequest | undefined {
    let best: TeamLine | undefined;
    for (const [team, line] of this.lines) {
      const isBetter = best === undefined || line.pass < best.pass;
      if (isBetter && isOpen(team)) {
        best = line;
      }
    }
    return best?.queue.readHead();
  }

  /** Moves a team's turn back after one of its requests was placed. */
  recordTurn(team: TeamName): void {
    const line = this.lines.get(team);
    if (line !== undefined) {
      line.pass += 1;
    }
  }

  private createLine(team: TeamName): TeamLine {
    const line: TeamLine = { queue: new RowQueue(), pass: 0 };
    this.lines.set(team, line);
    return line;
  }

  private readLowestPass(): number {
    let lowest = Infinity;
    for (const line of this.lines.values()) {
      if (line.queue.readLength() > 0) {
        lowest = Math.min(lowest, line.pass);
      }
    }
    return lowest === Infinity ? 0 : lowest;
  }
}
