import { appendTo } from '../../common/appendTo';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { readMedian } from './readMedian';
import type { SiblingTime } from './SiblingTime';
import type { SpeedEstimate } from './SpeedEstimate';

interface TaskTime {
  readonly life: EndpointIncarnation;
  /** Natural logarithm of the whole time in milliseconds, as it was expected when the run was measured. */
  readonly logMs: number;
}

/** How long the tasks of one step take, each measured once. */
export class StepRunTimes {
  private readonly tasks = new Map<number, TaskTime>();
  private measuredGangRun = 0;

  /** Takes in the time of a task; that of its newest run counts. */
  recordTime(index: number, life: EndpointIncarnation, logMs: number): void {
    this.tasks.set(index, { life, logMs });
  }

  readCount(): number {
    return this.tasks.size;
  }

  /** How many tasks were measured on an endpoint. */
  readCountOn(life: EndpointIncarnation): number {
    let count = 0;
    for (const task of this.tasks.values()) {
      count += task.life === life ? 1 : 0;
    }
    return count;
  }

  /**
   * The times elsewhere than on one endpoint, one for each other endpoint. What ran on the endpoint itself cannot tell how fast it is.
   */
  readSiblings(
    except: EndpointIncarnation,
    readEstimate: (life: EndpointIncarnation) => SpeedEstimate,
  ): readonly SiblingTime[] {
    const byLife = new Map<EndpointIncarnation, number[]>();
    for (const { life, logMs } of this.tasks.values()) {
      if (life !== except) {
        appendTo(byLife, life, logMs);
      }
    }
    return [...byLife].map(([life, times]) => {
      const { ratio, spread } = readEstimate(life);
      return { logMs: readMedian(times) - Math.log(ratio), variance: spread ** 2 };
    });
  }

  /** True for the first member of a gang's run that asks: one speaks for all. */
  claimGangRun(run: number): boolean {
    const isFirst = run > this.measuredGangRun;
    this.measuredGangRun = Math.max(run, this.measuredGangRun);
    return isFirst;
  }
}
