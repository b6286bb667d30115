import type { EndpointProfile } from '../dispatch/endpoints/EndpointProfile';
import type { PlacedRun } from '../dispatch/runs/PlacedRun';
import type { RunEnd } from '../dispatch/runs/RunEnd';
import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobHistory } from '../ledger/JobHistory';
import type { RunHistory } from '../ledger/RunHistory';
import { toRunKey } from '../ledger/toRunKey';

/** Maximum number of runs kept per job, enough for the critical path with retries. */
const MAX_TRACED_RUNS = 48;

/** Ended runs of a live job, from which a late end can be explained. Time arguments are monotonic. */
export class JobTrace {
  /** Ended runs in order of their ends, with monotonic times. */
  private endedRuns: RunHistory[] = [];
  /** Monotonic time of the newest end of a run, or of the job's addition. */
  private newestEndAt: number;

  constructor(private readonly addedAt: number) {
    this.newestEndAt = addedAt;
  }

  recordRunEnd(
    run: PlacedRun,
    { incarnation, hall }: EndpointProfile,
    { outcome, reportedEnd }: RunEnd,
    now: number,
  ): void {
    this.newestEndAt = now;
    this.endedRuns.push({
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

  /** Creates the history of the job, which ended at a wall clock time in Unix milliseconds: that of the last recorded end of a run. */
  createHistory({ id, queue, ...definition }: JobDefinition, ending: string, wallMs: number): JobHistory {
    const offsetMs = wallMs - this.newestEndAt;
    const dueAt = definition.firstRunMs + (definition.times - 1) * definition.intervalMs;
    const acceptedAt = Math.max(definition.acceptedAtMs, dueAt);
    const runs = this.endedRuns.map((run) => ({
      ...run,
      placedAt: run.placedAt + offsetMs,
      endedAt: run.endedAt! + offsetMs,
    }));
    return {
      job: id,
      queue: queue.name,
      acceptedAt,
      acceptMs: 0,
      addedAt: Math.max(acceptedAt, this.addedAt + offsetMs),
      endedAt: wallMs,
      ending,
      runs: new Map(runs.map((run) => [toRunKey(run), run])),
      waitSamples: [],
      takeOvers: [],
      loggedPath: undefined,
    };
  }

  /** Removes the earliest run that is done, or else the earliest run, when there are more than `MAX_TRACED_RUNS`. */
  private removeExcessRun(): void {
    if (this.endedRuns.length > MAX_TRACED_RUNS) {
      const first = this.endedRuns.findIndex(({ outcome }) => outcome === 'done');
      this.endedRuns.splice(Math.max(0, first), 1);
    }
  }
}
