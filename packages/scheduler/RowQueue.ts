import TinyQueue from 'tinyqueue';
import type { SchedulerRequest } from './SchedulerRequest';

interface QueueItem {
  readonly request: SchedulerRequest;
  readonly order: number;
  isGone: boolean;
}

const checkOrder = (left: QueueItem, right: QueueItem): number =>
  left.request.deadlineAt - right.request.deadlineAt || left.order - right.order;

/** The waiting requests of one row, earliest deadline first, then by arrival. */
export class RowQueue {
  private readonly heap = new TinyQueue<QueueItem>([], checkOrder);
  private readonly items = new Map<string, QueueItem>();
  private order = 0;

  queueRequest(request: SchedulerRequest): void {
    const item: QueueItem = { request, order: this.order, isGone: false };
    this.order += 1;
    this.items.set(request.id, item);
    this.heap.push(item);
  }

  /** The request that is next, without taking it. */
  readHead(): SchedulerRequest | undefined {
    while (this.heap.peek()?.isGone === true) {
      this.heap.pop();
    }
    return this.heap.peek()?.request;
  }

  /** Takes a request out, wherever it stands. Returns false when it was not waiting. */
  revokeRequest(id: string): boolean {
    const item = this.items.get(id);
    if (item === undefined) {
      return false;
    }
    item.isGone = true;
    this.items.delete(id);
    return true;
  }

  readLength(): number {
    return this.items.size;
  }
}
