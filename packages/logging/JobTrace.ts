import type { EndpointProfile } from '../dispatch/endpoints/EndpointProfile';
import type { PlacedRun } from '../dispatch/runs/PlacedRun';
import type { RunEnd } from '../dispatch/runs/RunEnd';
import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobHistory } from '../ledger/JobHistory';
import type { RunHistory } from '../ledger/RunHistory';
import { toRunKey } from '../ledger/toRunKey';

/** Maximum number of runs kept per job, enough for the critical path with retries. */
const MAX_RUNS = 48;

/** Ended runs of a live job, from which a late end can be explained. Time arguments are monotonic. */
export class JobTrace {
  /** In order of their ends. */
  private runs: RunHistory[] = [];
  private newestAt: number;

  constructor(private readonly takenInAt: number) {
    this.newestAt = takenInAt;
  }

  recordRun(
    run: PlacedRun,
    { incarnation, hall }: EndpointProfile,
    { outcome, reportedEnd }: RunEnd,
    now: number,
  ): void {
    this.newestAt = now;
    this.runs.push({
      task: run.task,
      run: run.run,
      placedAt: run.placedAt,
      waits: run.waitTimes ?? {},
      endedAt: now,
      outcome,
      reportedEnd: reportedEnd ?? '',
      stopCause: run.stopCause ?? '',
      endpoint: incarnation,
      hall,
      recordMs: run.recordedAt - run.placedAt,
      startMs: Math.max(0, run.startConfirmedAt - run.recordedAt),
    });
    this.removeExcessRun();
  }

  /** Creates the account of the job, which has ended at a wall clock time in Unix milliseconds. */
  createAccount({ id, queue, ...definition }: JobDefinition, ending: string, wallMs: number): JobHistory {
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
      addedAt: Math.max(acceptedAt, this.takenInAt + offsetMs),
      endedAt: wallMs,
      ending,
      runs: new Map(runs.map((run) => [toRunKey(run), run])),
      waitSamples: [],
      takeOvers: [],
      loggedPath: undefined,
    };
  }

  /** Removes the earliest completed run when there are too many, since later steps wait for later runs. */
  private removeExcessRun(): void {
    if (this.runs.length > MAX_RUNS) {
      const first = this.runs.findIndex(({ outcome }) => outcome === 'done');
      this.runs.splice(Math.max(0, first), 1);
    }
  }
}
