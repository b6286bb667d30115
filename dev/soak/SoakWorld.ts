import type { Random } from '../../packages/common/Random';
import { waitForDelay } from '../../packages/common/waitForDelay';
import type { Cell } from '../cell/Cell';

/** What the troubles of a soak act on. All that they begin is over by the end of `startCalm`. */
export class SoakWorld {
  private readonly underWay = new Set<Promise<void>>();
  private readonly busyBoxes = new Set<string>();
  private version = 1;
  /** Callers send many times as much as usual: more than there is room for. */
  isBursting = false;

  constructor(
    readonly cell: Cell,
    readonly random: Random,
  ) {}

  chooseUpTo(most: number): number {
    return Math.floor(this.random() * (most + 1));
  }

  /** Lets a trouble go on beside others. */
  startBeside(work: Promise<void>): void {
    const tracked = work.finally(() => this.underWay.delete(tracked));
    this.underWay.add(tracked);
  }

  /** Waits until every trouble is over. */
  async startCalm(): Promise<void> {
    while (this.underWay.size > 0) {
      await Promise.all(this.underWay);
    }
  }

  /** Uses a box that no other trouble ends or pauses, if there is one. */
  async startWithBox(work: (box: Cell['boxes'][number]) => Promise<void>): Promise<void> {
    const free = this.cell.boxes.filter(({ name }) => !this.busyBoxes.has(name));
    const box = free[this.chooseUpTo(free.length - 1)];
    if (box === undefined) {
      return;
    }
    this.busyBoxes.add(box.name);
    await work(box).finally(() => this.busyBoxes.delete(box.name));
  }

  /** One of the executors that are there. */
  chooseExecutor(): Cell['executors'][number] | undefined {
    const { executors } = this.cell;
    return executors[this.chooseUpTo(executors.length - 1)];
  }

  writeNextConfiguration(): void {
    this.version += 1 + this.chooseUpTo(3);
    this.cell.writeConfiguration(this.version, [`queue-${this.version}`]);
  }

  startPause(mostMs: number): Promise<void> {
    return waitForDelay(this.chooseUpTo(mostMs));
  }
}
