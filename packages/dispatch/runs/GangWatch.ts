import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import { toTaskName } from '../../jobs/toTaskName';
import type { EndpointState } from '../endpoints/EndpointState';
import type { LiveJob } from '../waiting/LiveJob';
import type { PlacedRun } from './PlacedRun';

/** Keeps gangs whole. */
export class GangWatch {
  constructor(
    private readonly books: ReadonlyMap<EndpointIncarnation, EndpointState>,
    private readonly jobs: ReadonlyMap<JobId, LiveJob>,
    /** Called with each member that runs while another is lost. */
    private readonly handleSplit: (book: EndpointState, run: PlacedRun) => void,
  ) {}

  /** A gang of which some members are lost cannot work: the others are stopped, and it starts again as a whole. */
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
    const isSplit =
      tasks.some((task) => task.phase === 'waiting') && tasks.some((task) => task.phase === 'placed');
    if (!isSplit) {
      return;
    }
    for (const [index, task] of tasks.entries()) {
      const book = this.books.get(task.endpoint);
      const run = book?.getRun(toTaskName(job.definition.id, { time, step, index }), task.run);
      if (task.phase === 'placed' && book !== undefined && run !== undefined) {
        this.handleSplit(book, run);
      }
    }
  }
}
