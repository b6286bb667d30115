import type { JsonClient } from '../../common/JsonClient';
import type { JsonResult } from '../../common/JsonResult';
import type { CommandResult } from './CommandResult';

type JsonRequest = Parameters<JsonClient['sendJsonRequest']>[0];

/** Result of a command: the response to its request, or why the request was not sent. */
type SendResult =
  | { readonly kind: 'sent'; readonly result: JsonResult }
  | { readonly kind: 'unsent'; readonly result: CommandResult };

interface IncarnationConnectionOptions {
  /** Client with one connection, which no one else uses. */
  readonly client: JsonClient;
  /**
   * Requests a status over the client's connection, with a time limit in milliseconds. Resolves to undefined if the incarnation has responded, and
   * otherwise to the result of commands that can't be sent to it.
   */
  readonly requestConfirmation: (client: JsonClient, timeoutMs: number) => Promise<CommandResult | undefined>;
}

/**
 * A connection for commands to one incarnation of an endpoint. The next incarnation may listen at the same address, and would carry out a command by its
 * own clock: a request is sent only over a connection on which the incarnation has responded since it was opened. Requests are sent one at a time.
 */
export class IncarnationConnection {
  private isConfirmed = false;
  /** Settles when the requests queued so far have their results. */
  private queueTail: Promise<unknown> = Promise.resolve();
  private queuedCount = 0;
  private pendingCount = 0;
  /** Number of requests that were queued when the last confirmation failed, and its result. */
  private failure: { readonly queuedCount: number; readonly result: CommandResult } | undefined;

  constructor(private readonly options: IncarnationConnectionOptions) {}

  /** Returns the number of requests without a result. */
  countPending(): number {
    return this.pendingCount;
  }

  /** Sends a request once those before it have their results. Never rejects. Requests that wait while a confirmation fails are not sent. */
  async sendRequest(request: JsonRequest): Promise<SendResult> {
    this.queuedCount += 1;
    this.pendingCount += 1;
    const position = this.queuedCount;
    const sent = this.queueTail.then(() => this.sendNext(request, position));
    this.queueTail = sent;
    return sent.finally(() => {
      this.pendingCount -= 1;
    });
  }

  /** Makes later requests use a new connection. */
  renew(): void {
    this.isConfirmed = false;
    this.options.client.renewConnections();
  }

  /** Closes the connection; pending and later requests fail. */
  stop(): Promise<void> {
    return this.options.client.stop();
  }

  private async sendNext(request: JsonRequest, position: number): Promise<SendResult> {
    if (this.failure !== undefined && position <= this.failure.queuedCount) {
      return { kind: 'unsent', result: this.failure.result };
    }
    const result = this.isConfirmed ? await this.sendConfirmed(request) : undefined;
    if (result !== undefined) {
      return { kind: 'sent', result };
    }
    const failure = await this.options.requestConfirmation(this.options.client, request.timeoutMs);
    if (failure !== undefined) {
      this.failure = { queuedCount: this.queuedCount, result: failure };
      return { kind: 'unsent', result: failure };
    }
    this.isConfirmed = true;
    const confirmedResult = await this.sendConfirmed(request);
    return confirmedResult === undefined
      ? { kind: 'unsent', result: { kind: 'undelivered', detail: 'the connection was closed' } }
      : { kind: 'sent', result: confirmedResult };
  }

  /** Sends a request over the open connection; undefined if that is closed, so that nothing was sent. */
  private async sendConfirmed(request: JsonRequest): Promise<JsonResult | undefined> {
    const result = await this.options.client.sendJsonRequest({ ...request, mustReuseConnection: true });
    this.isConfirmed = result.kind === 'answered';
    return result.kind === 'refused' ? undefined : result;
  }
}
