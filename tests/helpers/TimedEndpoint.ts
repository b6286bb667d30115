import type { EndpointClient } from '../../packages/dispatch/endpoints/EndpointClient';
import type { EndedTaskStatus } from '../../packages/dispatch/endpoints/EndedTaskStatus';
import type { TaskName } from '../../packages/jobs/TaskName';

const POLL_MS = 10;

/** Endpoint whose runs take a fixed time, by `performance.now`, and that lists each end until it is acknowledged. */
export class TimedEndpoint implements EndpointClient {
  readonly starts: { readonly task: TaskName; readonly at: number }[] = [];
  /** Starts of tasks after a run of them was done. */
  readonly startsAfterDone: TaskName[] = [];
  private readonly runs = new Map<TaskName, { readonly run: number; readonly endsAt: number }>();
  private readonly doneTasks = new Set<TaskName>();
  private ended: EndedTaskStatus[] = [];
  private endCount = 0;

  constructor(private readonly runMs: number) {}

  async sendStart({
    task,
    run,
  }: Parameters<EndpointClient['sendStart']>[0]): ReturnType<EndpointClient['sendStart']> {
    this.starts.push({ task, at: performance.now() });
    if (this.doneTasks.has(task)) {
      this.startsAfterDone.push(task);
    }
    this.runs.set(task, { run, endsAt: performance.now() + this.runMs });
    return Promise.resolve({ kind: 'done' });
  }

  async sendStop(task: TaskName): ReturnType<EndpointClient['sendStop']> {
    this.runs.delete(task);
    return Promise.resolve({ kind: 'done' });
  }

  async sendPoll({
    acknowledgedUpTo,
  }: Parameters<EndpointClient['sendPoll']>[0]): ReturnType<EndpointClient['sendPoll']> {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    this.ended = this.ended.filter(({ number }) => number > acknowledgedUpTo);
    for (const [task, { run, endsAt }] of this.runs) {
      if (endsAt <= performance.now()) {
        this.runs.delete(task);
        this.doneTasks.add(task);
        this.endCount += 1;
        this.ended.push({ number: this.endCount, task, run, how: 'done', checkpoint: '' });
      }
    }
    const running = [...this.runs].map(([task, { run }]) => ({
      task,
      run,
      checkpoint: '',
      percent: 1,
      load: 0,
    }));
    return { kind: 'held', running, ended: [...this.ended] };
  }

  /** Returns how many tasks have a run that is done. */
  countDoneTasks(): number {
    return this.doneTasks.size;
  }

  /** Returns how many runs are under way. */
  countRuns(): number {
    return this.runs.size;
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }
}
