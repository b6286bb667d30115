import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { TaskAddress } from '../../jobs/TaskAddress';
import type { TaskProgress } from '../../jobs/TaskProgress';
import type { CrashTracker } from '../crashes/CrashTracker';
import { isCrashSuspect } from '../crashes/isCrashSuspect';
import { createDeregisteredProfile } from '../endpoints/createDeregisteredProfile';
import type { EndpointProfile } from '../endpoints/EndpointProfile';
import type { EndpointState } from '../endpoints/EndpointState';
import type { LiveJob } from '../waiting/LiveJob';
import { createPlacedRun } from './createPlacedRun';

interface RunRecoveryOptions {
  readonly endpoints: Map<EndpointIncarnation, EndpointState>;
  readonly crashTracker: CrashTracker;
  readonly createEndpointState: (profile: EndpointProfile) => EndpointState;
}

/** Restores the runs and the crashes of jobs from the progress that earlier leaders recorded. */
export class RunRecovery {
  constructor(private readonly options: RunRecoveryOptions) {}

  /** Adds an unconfirmed run for each placed task of a job, and applies the crashes of all its tasks. */
  addRecoveredRuns(job: LiveJob, now: number): void {
    const { definition, progress } = job;
    for (let repetition = 0; repetition < definition.times; repetition += 1) {
      for (const [step] of definition.steps.entries()) {
        for (const [index, task] of progress.listTasks(repetition, step).entries()) {
          const address = { repetition, step, index };
          this.options.crashTracker.applyRecoveredCrashes(job, address, now);
          if (task.phase === 'placed') {
            this.addRecoveredRun(job, address, task, now);
          }
        }
      }
    }
  }

  /** Adds an unconfirmed run for a task that an earlier leader placed, and the state of its endpoint if there is none. */
  private addRecoveredRun(job: LiveJob, address: TaskAddress, task: TaskProgress, now: number): void {
    const { endpoints, createEndpointState } = this.options;
    let endpoint = endpoints.get(task.endpoint);
    if (endpoint === undefined) {
      // Without a record the endpoint may still be running the task, until its lease expires.
      endpoint = createEndpointState(createDeregisteredProfile(task.endpoint, job.getQueue().service));
      // The endpoint's record may have been deleted, by a drain or a crash, before this leader read the records.
      endpoint.recordDeregistration();
      endpoints.set(task.endpoint, endpoint);
    }
    const run = createPlacedRun(job.definition, address, task.runNumber, now, {
      queue: job.getQueue(),
      isCrashSuspect: isCrashSuspect(task),
    });
    run.stage = 'unconfirmed';
    run.checkpoint = task.checkpoint;
    endpoint.addRun(run);
  }
}
