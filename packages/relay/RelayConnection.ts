import { WebSocket } from 'ws';
import type { Clock } from '../common/Clock';
import type { JsonClient } from '../common/JsonClient';
import type { JsonClientOptions } from '../common/JsonClientOptions';
import type { JsonResult } from '../common/JsonResult';
import { formatError } from '../common/formatError';
import { formatJson } from '../common/formatJson';
import { FrameBatcher } from './FrameBatcher';
import { parseFrame } from './parseFrame';
import { PingMonitor } from './PingMonitor';
import type { RelayCallId } from './RelayCallId';
import type { RelayClientId } from './RelayClientId';
import type { RelayEnd } from './RelayEnd';
import type { RelayMessage } from './RelayMessage';
import { relayPath } from './relayPath';
import type { RelayReply } from './RelayReply';
import { relayReplySchema } from './relayReplySchema';

type JsonRequest = Parameters<JsonClient['sendJsonRequest']>[0];
type ReplyKind = RelayReply['kind'];
type ReplyOf<Kind extends ReplyKind> = Extract<RelayReply, { kind: Kind }>;
type ReplyHandlers = { readonly [Kind in ReplyKind]: (reply: ReplyOf<Kind>) => void };

/**
 * State of a connection.
 * - `connecting`: the box has not responded yet.
 * - `open`: calls may be sent.
 * - `draining`: calls under way end as usual, and no new ones are sent.
 * - `closed`: the connection has ended, or could not be made.
 */
type ConnectionState = 'connecting' | 'open' | 'draining' | 'closed';

interface RelayConnectionOptions {
  /** Host and port of the box. */
  readonly address: string;
  readonly clock: Clock;
  /** Called once, when calls may be sent. */
  readonly handleOpen: () => void;
  /** Called once, when the connection is closed. */
  readonly handleClosed: (end: RelayEnd) => void;
}

const CONNECT_TIMEOUT_MS = 600;

/** Connection of a leader to the call relay of another box. */
export class RelayConnection {
  private state: ConnectionState = 'connecting';
  /** Undefined when no socket can be made of the address. */
  private readonly socket: WebSocket | undefined;
  private readonly batcher: FrameBatcher<RelayMessage>;
  private readonly pingMonitor: PingMonitor;
  private readonly pendingCalls = new Map<RelayCallId, (result: JsonResult) => void>();
  private newestCall = 0;
  private newestClient = 0;
  private readonly clients = new Set<RelayClientId>();
  private drainReason = '';
  private readonly handlers: ReplyHandlers = {
    answer: ({ call, status, value }) => this.handleResult(call, { kind: 'answered', status, value }),
    failure: ({ call, failure, detail }) => this.handleResult(call, { kind: failure, detail }),
    pong: ({ number }) => this.pingMonitor.handlePong(number),
    leave: () => this.startDrain('the box is about to stop'),
  };

  constructor(private readonly options: RelayConnectionOptions) {
    const { clock } = options;
    this.batcher = new FrameBatcher({
      clock,
      sendFrame: (text) => this.socket?.send(text, (error) => error && this.stop(formatError(error))),
    });
    this.pingMonitor = new PingMonitor({
      clock,
      sendPing: (number) => this.queueMessage({ kind: 'ping', number }),
    });
    this.socket = this.createSocket();
  }

  isConnecting(): boolean {
    return this.state === 'connecting';
  }

  /** Returns whether new calls may be sent. */
  isOpen(): boolean {
    return this.state === 'open';
  }

  /** Returns how long the response to the last ping took, in milliseconds; undefined before the first one. */
  getRoundTripMs(): number | undefined {
    return this.pingMonitor.getRoundTripMs();
  }

  /** Adds a client at the relay, which has connections of its own. */
  addClient({ address, connections, headers }: JsonClientOptions): RelayClientId {
    this.newestClient += 1;
    const client = this.newestClient as RelayClientId;
    this.clients.add(client);
    this.queueMessage({ kind: 'open', client, address, connections, headers });
    return client;
  }

  countClients(): number {
    return this.clients.size;
  }

  /** Sends a call of a client through the relay. Resolves to `interrupted` when the connection is lost first. Never rejects. */
  sendCall(client: RelayClientId, { body, ...request }: JsonRequest): Promise<JsonResult> {
    if (this.state === 'closed') {
      return Promise.resolve({ kind: 'interrupted', detail: 'the connection to the relay is closed' });
    }
    this.newestCall += 1;
    const call = this.newestCall as RelayCallId;
    const message: RelayMessage = { kind: 'call', client, call, body: { ...body }, ...request };
    const text = formatJson(message);
    if (!text.ok) {
      return Promise.resolve({ kind: 'refused', detail: text.error });
    }
    this.batcher.queueText(text.value);
    return new Promise((resolve) => this.pendingCalls.set(call, resolve));
  }

  /** Makes later calls of a client use new connections. */
  renewClient(client: RelayClientId): void {
    this.queueMessage({ kind: 'renew', client });
  }

  /** Removes a client; its active calls end as usual. */
  removeClient(client: RelayClientId): void {
    this.clients.delete(client);
    this.queueMessage({ kind: 'close', client });
  }

  /** Removes a client; its active calls fail. */
  cancelClient(client: RelayClientId): void {
    this.clients.delete(client);
    this.queueMessage({ kind: 'abort', client });
  }

  /** Sends pings. Closes the connection when the box is silent, or when it drains and no call is left. */
  handleTick(): void {
    if (this.state === 'connecting' || this.state === 'closed') {
      return;
    }
    this.pingMonitor.handleTick();
    if (this.pingMonitor.isSilent()) {
      this.stop('silent');
    } else if (this.state === 'draining' && this.pendingCalls.size === 0) {
      this.stop(this.drainReason);
    }
  }

  /** Sends no new calls, and closes the connection once those under way have ended. Does nothing unless it is open. */
  startDrain(reason: string): void {
    if (this.state === 'open') {
      this.state = 'draining';
      this.drainReason = reason;
    }
  }

  /** Closes the connection; pending calls are interrupted. Does nothing if it is closed. */
  stop(detail: string): void {
    if (this.state === 'closed') {
      return;
    }
    const wasOpen = this.state !== 'connecting';
    const pending = [...this.pendingCalls.values()];
    const isPlanned = this.state === 'draining' && pending.length === 0;
    this.state = 'closed';
    this.batcher.stop();
    this.socket?.terminate();
    this.pendingCalls.clear();
    this.options.handleClosed({ wasOpen, isPlanned, detail, pendingCalls: pending.length });
    pending.forEach((resolve) => resolve({ kind: 'interrupted', detail: `relay lost: ${detail}` }));
  }

  /** Creates the socket. The connection closes in a later turn of the event loop if that fails. */
  private createSocket(): WebSocket | undefined {
    try {
      const socket = new WebSocket(`ws://${this.options.address}${relayPath}`, {
        handshakeTimeout: CONNECT_TIMEOUT_MS,
        perMessageDeflate: false,
      });
      socket.on('open', () => this.handleOpen());
      socket.on('message', (data) => this.handleFrame(String(data)));
      socket.on('error', (error) => this.stop(formatError(error)));
      socket.on('close', () => this.stop('closed by the box'));
      return socket;
    } catch (thrown) {
      setImmediate(() => this.stop(formatError(thrown)));
      return undefined;
    }
  }

  private queueMessage(message: RelayMessage): void {
    if (this.state !== 'closed') {
      this.batcher.queueMessage(message);
    }
  }

  private handleOpen(): void {
    if (this.state === 'connecting') {
      this.state = 'open';
      this.options.handleOpen();
    }
  }

  private handleFrame(text: string): void {
    const replies = parseFrame(relayReplySchema, text);
    if (replies === undefined) {
      this.stop('malformed frame');
      return;
    }
    replies.forEach((reply) => this.handleReply(reply));
  }

  private handleReply<Kind extends ReplyKind>(reply: ReplyOf<Kind>): void {
    const handle = this.handlers[reply.kind as Kind] as (reply: ReplyOf<Kind>) => void;
    handle(reply);
  }

  private handleResult(call: RelayCallId, result: JsonResult): void {
    const resolve = this.pendingCalls.get(call);
    this.pendingCalls.delete(call);
    resolve?.(result);
  }
}
