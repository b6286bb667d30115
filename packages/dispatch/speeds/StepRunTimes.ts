import { addToList } from '../../common/addToList';
import { setBounded } from '../../common/setBounded';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { computeMedian } from './computeMedian';
import type { SiblingTime } from './SiblingTime';
import type { SpeedEstimate } from './SpeedEstimate';

/** Run time of one task. */
interface TaskTime {
  readonly endpoint: EndpointIncarnation;
  /** Natural logarithm of the run time in milliseconds, extrapolated if the run had not ended. */
  readonly logMs: number;
}

/** Number of tasks whose run times are kept, the newest ones. Each new time is compared with all of them. */
const MAX_KEPT_TASKS = 512;

/** Latest run times of the tasks of one step, with the endpoints they ran on. */
export class StepRunTimes {
  /** Latest run times by the index of the task, in the order in which the tasks got their first. */
  private readonly taskTimes = new Map<number, TaskTime>();
  /** Highest run number passed to `claimGangRun`. */
  private latestGangRunNumber = 0;

  /** Records the run time of a task on an endpoint, in place of that of an earlier run. */
  recordTime(index: number, endpoint: EndpointIncarnation, logMs: number): void {
    setBounded(this.taskTimes, index, { endpoint, logMs }, MAX_KEPT_TASKS);
  }

  /** Returns how many tasks have a kept time. */
  countTasks(): number {
    return this.taskTimes.size;
  }

  /** Returns how many tasks have a kept time on an endpoint. */
  countTasksOn(endpoint: EndpointIncarnation): number {
    let count = 0;
    for (const task of this.taskTimes.values()) {
      count += task.endpoint === endpoint ? 1 : 0;
    }
    return count;
  }

  /** Returns the median run time of the tasks on each endpoint other than `excluded`, corrected by the endpoint's estimated speed. */
  listSiblingTimes(
    excluded: EndpointIncarnation,
    getEstimate: (endpoint: EndpointIncarnation) => SpeedEstimate,
  ): readonly SiblingTime[] {
    const byEndpoint = new Map<EndpointIncarnation, number[]>();
    for (const { endpoint, logMs } of this.taskTimes.values()) {
      if (endpoint !== excluded) {
        addToList(byEndpoint, endpoint, logMs);
      }
    }
    return [...byEndpoint].map(([endpoint, times]) => {
      const { ratio, spread } = getEstimate(endpoint);
      return { logMs: computeMedian(times) - Math.log(ratio), variance: spread ** 2 };
    });
  }

  /** Returns whether the run number of a gang is higher than all passed before, so that only one member's time counts for each run. */
  claimGangRun(runNumber: number): boolean {
    const isFirst = runNumber > this.latestGangRunNumber;
    this.latestGangRunNumber = Math.max(runNumber, this.latestGangRunNumber);
    return isFirst;
  }
}
