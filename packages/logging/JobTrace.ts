import type { EndpointProfile } from '../dispatch/endpoints/EndpointProfile';
import type { PlacedRun } from '../dispatch/runs/PlacedRun';
import type { RunEnd } from '../dispatch/runs/RunEnd';
import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobAccount } from '../ledger/JobAccount';
import type { RunAccount } from '../ledger/RunAccount';
import { toRunKey } from '../ledger/toRunKey';

/** Runs kept of a job: a critical path has a run for each step, and one more for each try. */
const MAX_RUNS = 48;

/** What the leader remembers of a live job's runs that have ended, to tell why it is late. Times that come in are monotonic. */
export class JobTrace {
  /** In the order in which they ended. */
  private runs: RunAccount[] = [];
  private newestAt: number;

  constructor(private readonly takenInAt: number) {
    this.newestAt = takenInAt;
  }

  recordRun(
    run: PlacedRun,
    { incarnation: life, hall }: EndpointProfile,
    { outcome, reportedEnd: how }: RunEnd,
    now: number,
  ): void {
    this.newestAt = now;
    this.runs.push({
      task: run.task,
      run: run.run,
      placedAt: run.placedAt,
      waits: run.waits ?? {},
      endedAt: now,
      outcome,
      how: how ?? '',
      why: run.stopCause ?? '',
      endpoint: life,
      hall,
      recordMs: run.recordedAt - run.placedAt,
      startMs: Math.max(0, run.confirmedAt - run.recordedAt),
    });
    this.applyBound();
  }

  /** The account of the job, which ends now at a wall clock time. */
  createAccount({ id, queue, ...definition }: JobDefinition, ending: string, wallMs: number): JobAccount {
    const offsetMs = wallMs - this.newestAt;
    const dueAt = definition.firstRunMs + (definition.times - 1) * definition.intervalMs;
    const acceptedAt = Math.max(definition.acceptedAtMs, dueAt);
    const runs = this.runs.map((run) => ({
      ...run,
      placedAt: run.placedAt + offsetMs,
      endedAt: run.endedAt! + offsetMs,
    }));
    return {
      job: id,
      queue: queue.name,
      acceptedAt,
      acceptMs: 0,
      takenInAt: Math.max(acceptedAt, this.takenInAt + offsetMs),
      endedAt: wallMs,
      ending,
      runs: new Map(runs.map((run) => [toRunKey(run), run])),
      notes: [],
      takeOvers: [],
      toldPath: undefined,
    };
  }

  /** Of runs that were done the one that ended first goes first: what followed had to wait for a later one. */
  private applyBound(): void {
    if (this.runs.length > MAX_RUNS) {
      const first = this.runs.findIndex(({ outcome }) => outcome === 'done');
      this.runs.splice(Math.max(0, first), 1);
    }
  }
}
