import { addToList } from '../../common/addToList';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { computeMedian } from './computeMedian';
import type { SiblingTime } from './SiblingTime';
import type { SpeedEstimate } from './SpeedEstimate';

interface TaskTime {
  readonly endpoint: EndpointIncarnation;
  /** Natural logarithm of the run time in milliseconds, extrapolated if the run had not ended. */
  readonly logMs: number;
}

/** Run times of the tasks of one step. */
export class StepRunTimes {
  private readonly taskTimes = new Map<number, TaskTime>();
  private latestGangRunNumber = 0;

  /** Records the time of a task, in place of that of its earlier run. */
  recordTime(index: number, endpoint: EndpointIncarnation, logMs: number): void {
    this.taskTimes.set(index, { endpoint, logMs });
  }

  countTasks(): number {
    return this.taskTimes.size;
  }

  /** Returns how many tasks have a recorded time on an endpoint. */
  countTasksOn(endpoint: EndpointIncarnation): number {
    let count = 0;
    for (const task of this.taskTimes.values()) {
      count += task.endpoint === endpoint ? 1 : 0;
    }
    return count;
  }

  /** Returns the median time on each other endpoint than `excluded`, corrected by its estimated speed. */
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

  /** Returns true once for each run of a gang, since one member's time stands for all. */
  claimGangRun(run: number): boolean {
    const isFirst = run > this.latestGangRunNumber;
    this.latestGangRunNumber = Math.max(run, this.latestGangRunNumber);
    return isFirst;
  }
}
