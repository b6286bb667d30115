import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import { toTaskName } from '../../jobs/toTaskName';
import type { EndpointState } from '../endpoints/EndpointState';
import type { LiveJob } from '../waiting/LiveJob';
import type { PlacedRun } from './PlacedRun';

/** Detects gangs of which some members wait while others are placed. */
export class GangMonitor {
  constructor(
    private readonly endpoints: ReadonlyMap<EndpointIncarnation, EndpointState>,
    private readonly jobs: ReadonlyMap<JobId, LiveJob>,
    /** Called for each placed member of a gang of which another member waits. */
    private readonly handleRemainingMember: (endpoint: EndpointState, run: PlacedRun) => void,
  ) {}

  /**
   * Calls the handler for each placed member of every gang of which another member waits, so that the gang can be stopped and restart
   * as a whole.
   */
  checkAllGangs(): void {
    for (const job of this.jobs.values()) {
      for (const [step, shape] of job.definition.steps.entries()) {
        if (shape.isGang) {
          for (let repetition = 0; repetition < job.definition.times; repetition += 1) {
            this.checkGang(job, repetition, step);
          }
        }
      }
    }
  }

  private checkGang(job: LiveJob, repetition: number, step: number): void {
    const tasks = job.progress.listTasks(repetition, step);
    const isIncomplete =
      tasks.some((task) => task.phase === 'waiting') && tasks.some((task) => task.phase === 'placed');
    if (!isIncomplete) {
      return;
    }
    for (const [index, task] of tasks.entries()) {
      const endpoint = this.endpoints.get(task.endpoint);
      const run = endpoint?.getRun(
        toTaskName(job.definition.id, { repetition, step, index }),
        task.runNumber,
      );
      if (task.phase === 'placed' && endpoint !== undefined && run !== undefined) {
        this.handleRemainingMember(endpoint, run);
      }
    }
  }
}
