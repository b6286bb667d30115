import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import type { CallerOrder } from './CallerOrder';
import type { CallerReply } from './CallerReply';

/** A process of callers, so that their processor time is not counted to this one. It ends when this process does. */
export class CallerProcess {
  private readonly child: ChildProcess = fork(process.argv[1]!, ['callers']);

  /** Sends an order, and resolves when it has been carried out; rejects if it failed or the process ended. */
  sendOrder(order: CallerOrder): Promise<void> {
    return new Promise((resolve, reject) => {
      const handleExit = (code: number | null) => reject(new Error(`callers ended with code ${code}`));
      this.child.once('exit', handleExit);
      this.child.once('message', ({ error }: CallerReply) => {
        this.child.off('exit', handleExit);
        if (error === undefined) {
          resolve();
        } else {
          reject(new Error(`callers: ${error}`));
        }
      });
      this.child.send(order);
    });
  }

  /** Tells the process to end, and waits for it. */
  async stop(): Promise<void> {
    if (this.child.connected) {
      const exited = once(this.child, 'exit');
      this.child.disconnect();
      await exited;
    }
  }
}
