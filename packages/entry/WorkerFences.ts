import type { WorkerId } from '../common/WorkerId';
import type { Ownership } from '../ownership/Ownership';
import type { EntryContext } from './EntryContext';
import type { WorkerDirectory } from './WorkerDirectory';

interface WorkerFencesOptions {
  readonly context: EntryContext;
  readonly ownership: Ownership;
  readonly directory: WorkerDirectory;
  /** An endpoint has shut earlier owners out, so that this process may place there. */
  readonly handleFenced: () => void;
}

type UnfencedWorker = ReturnType<WorkerDirectory['readUnfenced']>[number];

/**
 * Has each endpoint that has come to this process shut its earlier owners out, and tell what still runs there, before anything is placed on it. A
 * process can be stopped between its last check of a right and the bytes of an order, for any time; only the endpoint can tell such an order.
 */
export class WorkerFences {
  private readonly underWay = new Set<WorkerId>();
  private readonly logger;

  constructor(private readonly options: WorkerFencesOptions) {
    this.logger = options.context.createPartLogger('fences');
  }

  /** Asks the endpoints that need it. Call it whenever rights may have changed. */
  applyRights(): void {
    for (const worker of this.options.directory.readUnfenced()) {
      if (!this.underWay.has(worker.worker)) {
        void this.sendFence(worker);
      }
    }
  }

  private async sendFence({ worker, unit, client, grant, token }: UnfencedWorker): Promise<void> {
    const { context, directory, ownership, handleFenced } = this.options;
    this.underWay.add(worker);
    const askedAt = context.clock.getNow();
    const answer = await client.sendFence(token);
    this.underWay.delete(worker);
    const now = context.clock.getNow();
    const fields = { worker, token, tookMs: Math.round(now - askedAt) };
    switch (answer.kind) {
      case 'fenced':
        this.logger.info('Endpoint has shut earlier owners out.', { ...fields, tasks: answer.tasks.length });
        ownership.applyFence(unit, grant, answer.tasks, now);
        directory.recordFenced(worker, grant);
        handleFenced();
        break;
      case 'refused':
        this.logger.warn('Endpoint has a later owner.', fields);
        directory.recordLaterOwner(worker);
        break;
      case 'unanswered':
        this.logger.warn('Endpoint does not answer the fence.', { ...fields, reason: answer.reason });
        directory.recordNoConnection(worker);
        break;
    }
  }
}
