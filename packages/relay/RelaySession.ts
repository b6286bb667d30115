import type { WebSocket } from 'ws';
import type { Clock } from '../common/Clock';
import { HttpJsonClient } from '../common/HttpJsonClient';
import type { Logger } from '../common/Logger';
import type { TextResult } from '../common/TextResult';
import { FrameBatcher } from './FrameBatcher';
import { formatAnswer } from './formatAnswer';
import { parseFrame } from './parseFrame';
import type { RelayCallId } from './RelayCallId';
import type { RelayClientId } from './RelayClientId';
import type { RelayMessage } from './RelayMessage';
import { relayMessageSchema } from './relayMessageSchema';
import type { RelayReply } from './RelayReply';

interface RelaySessionOptions {
  readonly socket: WebSocket;
  readonly clock: Clock;
  readonly logger: Logger;
}

type MessageKind = RelayMessage['kind'];
type MessageOf<Kind extends MessageKind> = Extract<RelayMessage, { kind: Kind }>;
type MessageHandlers = { readonly [Kind in MessageKind]: (message: MessageOf<Kind>) => void };

/** Silence after which the leader at the other end is assumed to have ended without closing the connection. */
const MAX_SILENCE_MS = 10_000;

/** Sends the calls of one leader, over connections that belong to this leader alone, and returns their results. */
export class RelaySession {
  private readonly clients = new Map<RelayClientId, HttpJsonClient>();
  private readonly batcher: FrameBatcher<RelayReply>;
  private silenceTimer: NodeJS.Timeout | undefined;
  private readonly handlers: MessageHandlers = {
    call: (message) => void this.sendCall(message),
    open: ({ client, address, connections, headers }) => {
      this.clients.set(client, new HttpJsonClient({ address, connections, headers }));
    },
    renew: ({ client }) => this.clients.get(client)?.renewConnections(),
    close: ({ client }) => {
      // Closes the connections once the active calls have ended.
      this.clients.get(client)?.renewConnections();
      this.clients.delete(client);
    },
    abort: ({ client }) => {
      void this.clients.get(client)?.stop();
      this.clients.delete(client);
    },
    ping: ({ number }) => this.batcher.queueMessage({ kind: 'pong', number }),
  };

  constructor(private readonly options: RelaySessionOptions) {
    const { socket, clock, logger } = options;
    this.batcher = new FrameBatcher({ clock, sendFrame: (text) => socket.send(text) });
    socket.on('message', (data) => this.handleFrame(String(data)));
    socket.on('error', (error) => logger.info('Connection of a leader failed.', { detail: error.message }));
    socket.on('close', () => this.stop());
    this.startSilenceTimer();
  }

  /** Tells the leader that this box is about to stop. */
  sendLeave(): void {
    this.batcher.queueMessage({ kind: 'leave' });
  }

  /** Closes the connection and gives up active calls. May be called more than once. */
  stop(): void {
    clearTimeout(this.silenceTimer);
    this.batcher.stop();
    this.options.socket.terminate();
    for (const client of this.clients.values()) {
      void client.stop();
    }
    this.clients.clear();
  }

  private handleFrame(text: string): void {
    this.silenceTimer?.refresh();
    const messages = parseFrame(relayMessageSchema, text);
    if (messages === undefined) {
      this.options.logger.warn('Malformed frame of a leader: its calls are no longer relayed.', {
        bytes: text.length,
      });
      this.stop();
      return;
    }
    messages.forEach((message) => this.handleMessage(message));
  }

  private handleMessage<Kind extends MessageKind>(message: MessageOf<Kind>): void {
    const handle = this.handlers[message.kind as Kind] as (message: MessageOf<Kind>) => void;
    handle(message);
  }

  private async sendCall({ client, call, ...request }: MessageOf<'call'>): Promise<void> {
    const sender = this.clients.get(client);
    const result: TextResult =
      sender === undefined
        ? { kind: 'refused', detail: 'the client was closed' }
        : await sender.sendForText(request);
    this.queueResult(call, result);
  }

  private queueResult(call: RelayCallId, result: TextResult): void {
    if (result.kind === 'answered') {
      this.batcher.queueText(formatAnswer(call, result.status, result.text));
    } else {
      this.batcher.queueMessage({ kind: 'failure', call, failure: result.kind, detail: result.detail });
    }
  }

  private startSilenceTimer(): void {
    this.silenceTimer = setTimeout(() => {
      this.options.logger.info('Leader is silent: its calls are no longer relayed.', {
        silentMs: MAX_SILENCE_MS,
      });
      this.stop();
    }, MAX_SILENCE_MS);
  }
}
