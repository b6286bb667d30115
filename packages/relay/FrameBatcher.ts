import type { Clock } from '../common/Clock';

interface FrameBatcherOptions {
  readonly clock: Clock;
  /** Sends a frame, which is a JSON list of messages. */
  readonly sendFrame: (text: string) => void;
}

/** Shortest time between two frames of a connection. Bounds the cost of frames when messages are many. */
const MIN_FRAME_INTERVAL_MS = 12;

/** Gathers the messages of one connection into frames. The first message after a pause waits for the end of the event loop's turn only. */
export class FrameBatcher<Message> {
  private messages: Message[] = [];
  private isFrameQueued = false;
  private isStopped = false;
  private lastSentAt = -Infinity;

  constructor(private readonly options: FrameBatcherOptions) {}

  queueMessage(message: Message): void {
    this.messages.push(message);
    if (this.isFrameQueued) {
      return;
    }
    this.isFrameQueued = true;
    const delayMs = this.lastSentAt + MIN_FRAME_INTERVAL_MS - this.options.clock.getNow();
    if (delayMs <= 0) {
      setImmediate(() => this.sendQueued());
    } else {
      setTimeout(() => this.sendQueued(), delayMs);
    }
  }

  /** Drops queued messages and sends no more. */
  stop(): void {
    this.isStopped = true;
    this.messages = [];
  }

  private sendQueued(): void {
    this.isFrameQueued = false;
    if (this.isStopped) {
      return;
    }
    const { messages } = this;
    this.messages = [];
    this.lastSentAt = this.options.clock.getNow();
    this.options.sendFrame(JSON.stringify(messages));
  }
}
