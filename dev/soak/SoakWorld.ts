import { waitForDelay } from '../../packages/common/waitForDelay';
import type { Cell } from '../cell/Cell';
import type { SoakChoices } from './SoakChoices';
import type { SoakJob } from './SoakJob';

type Box = Cell['boxes'][number];

const POLL_MS = 20;
const MIN_SEVERAL = 2;

/** What the troubles of a soak act on. All that they begin is over by the end of `startCalm`. */
export class SoakWorld {
  private readonly underWay = new Set<Promise<void>>();
  private readonly busyBoxes = new Set<string>();
  private version = 1;
  private acceptWaiters: (() => void)[] = [];
  /** True while a trouble waits for all boxes, and no other may take one. */
  private isClaimingAll = false;
  /** Callers send many times as much as usual: more than there is room for. */
  isBursting = false;
  /** All jobs that callers have sent. */
  readonly jobs: SoakJob[] = [];
  /** Broken promises that were seen while the soak ran. */
  readonly problems: string[] = [];

  constructor(readonly cell: Cell) {}

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
  async startWithBox(choices: SoakChoices, work: (box: Box) => Promise<void>): Promise<void> {
    const box = choices.chooseFrom(this.listFreeBoxes());
    if (box !== undefined) {
      await this.startWithBoxes([box], () => work(box));
    }
  }

  /** Uses the box that leads, unless another trouble ends or pauses it. */
  async startWithLeader(work: (box: Box) => Promise<void>): Promise<void> {
    const free = this.listFreeBoxes();
    const leader = this.cell.readLeaders().find((box) => free.includes(box));
    if (leader !== undefined) {
      await this.startWithBoxes([leader], () => work(leader));
    }
  }

  /** Uses several boxes at once, but not all; does nothing without two that no other trouble uses. */
  async startWithSeveralBoxes(work: (boxes: readonly Box[]) => Promise<void>): Promise<void> {
    const free = this.listFreeBoxes().slice(0, this.cell.boxes.length - 1);
    if (free.length > 1) {
      await this.startWithBoxes(free, work);
    }
  }

  /** Uses all boxes, once no other trouble uses one. */
  async startWithAllBoxes(work: (boxes: readonly Box[]) => Promise<void>): Promise<void> {
    if (this.isClaimingAll) {
      return;
    }
    this.isClaimingAll = true;
    while (this.busyBoxes.size > 0) {
      await waitForDelay(POLL_MS);
    }
    const isOver = this.startWithBoxes(this.cell.boxes, work);
    this.isClaimingAll = false;
    await isOver;
  }

  /** One of the executors that are there. */
  chooseExecutor(choices: SoakChoices): Cell['executors'][number] | undefined {
    return choices.chooseFrom(this.cell.executors);
  }

  /** Several executors that are there, half of them at most; none if there are fewer than four. */
  chooseExecutors(choices: SoakChoices): readonly Cell['executors'][number][] {
    const remaining = [...this.cell.executors];
    const most = Math.floor(remaining.length / 2);
    const count = most < MIN_SEVERAL ? 0 : MIN_SEVERAL + choices.chooseUpTo(most - MIN_SEVERAL);
    return Array.from(
      { length: count },
      () => remaining.splice(choices.chooseUpTo(remaining.length - 1), 1)[0]!,
    );
  }

  /** One of the boxes. */
  chooseBox(choices: SoakChoices): Box {
    return choices.chooseFrom(this.cell.boxes)!;
  }

  /** One of the accepted jobs. */
  chooseAcceptedJob(choices: SoakChoices): SoakJob | undefined {
    return choices.chooseFrom(this.jobs.filter(({ fate }) => fate === 'accepted'));
  }

  recordAccepted(job: SoakJob): void {
    job.fate = 'accepted';
    job.acceptedAt ??= performance.now();
    this.acceptWaiters.splice(0).forEach((resolve) => resolve());
  }

  /** Resolves right after the next job was accepted, or after a timeout. */
  waitForNextAccept(timeoutMs: number): Promise<void> {
    const accepted = new Promise<void>((resolve) => this.acceptWaiters.push(resolve));
    return Promise.race([accepted, waitForDelay(timeoutMs)]);
  }

  writeNextConfiguration(choices: SoakChoices): void {
    this.version += 1 + choices.chooseUpTo(3);
    this.cell.writeConfiguration(this.version, [`queue-${this.version}`]);
  }

  private listFreeBoxes(): readonly Box[] {
    return this.isClaimingAll ? [] : this.cell.boxes.filter(({ name }) => !this.busyBoxes.has(name));
  }

  private async startWithBoxes(
    boxes: readonly Box[],
    work: (boxes: readonly Box[]) => Promise<void>,
  ): Promise<void> {
    boxes.forEach(({ name }) => this.busyBoxes.add(name));
    await work(boxes).finally(() => boxes.forEach(({ name }) => this.busyBoxes.delete(name)));
  }
}
