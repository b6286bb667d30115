import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import { toTaskName } from '../../jobs/toTaskName';
import type { EndpointState } from '../endpoints/EndpointState';
import type { LiveJob } from '../waiting/LiveJob';
import type { PlacedRun } from './PlacedRun';

/** Detects gangs that have lost some of their members. */
export class GangMonitor {
  constructor(
    private readonly endpoints: ReadonlyMap<EndpointIncarnation, EndpointState>,
    private readonly jobs: ReadonlyMap<JobId, LiveJob>,
    /** Called for each member that runs while another is lost. */
    private readonly handleRemainingMember: (endpoint: EndpointState, run: PlacedRun) => void,
  ) {}

  /** Checks all gangs. One that lost members cannot work: its other members have to be stopped, so that it restarts as a whole. */
  checkAll(): void {
    for (const job of this.jobs.values()) {
      for (const [step, shape] of job.definition.steps.entries()) {
        if (shape.isGang) {
          for (let time = 0; time < job.definition.times; time += 1) {
            this.checkGang(job, time, step);
          }
        }
      }
    }
  }

  private checkGang(job: LiveJob, time: number, step: number): void {
    const tasks = job.progress.listTasks(time, step);
    const isIncomplete =
      tasks.some((task) => task.phase === 'waiting') && tasks.some((task) => task.phase === 'placed');
    if (!isIncomplete) {
      return;
    }
    for (const [index, task] of tasks.entries()) {
      const endpoint = this.endpoints.get(task.endpoint);
      const run = endpoint?.getRun(
        toTaskName(job.definition.id, { repetition: time, step, index }),
        task.runNumber,
      );
      if (task.phase === 'placed' && endpoint !== undefined && run !== undefined) {
        this.handleRemainingMember(endpoint, run);
      }
    }
  }
}
