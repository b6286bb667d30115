import type { Clock } from '../common/Clock';

interface FrameBatcherOptions {
  readonly clock: Clock;
  /** Sends a frame, which is a JSON list of messages. */
  readonly sendFrame: (text: string) => void;
}

/** Shortest time between two frames of a connection. Bounds the cost of frames when messages are many. */
const MIN_FRAME_INTERVAL_MS = 12;
/** Length from which a frame takes no further message. */
const MAX_FRAME_LENGTH = 1_048_576;

/** Gathers the messages of one connection into frames. The first message after a pause waits for the end of the event loop's turn only. */
export class FrameBatcher<Message> {
  /** JSON texts of the queued messages. */
  private messages: string[] = [];
  private isFrameQueued = false;
  private isStopped = false;
  private lastSentAt = -Infinity;

  constructor(private readonly options: FrameBatcherOptions) {}

  /** Queues a message. Throws when it can't be formatted. */
  queueMessage(message: Message): void {
    this.queueText(JSON.stringify(message));
  }

  /** Queues a message that is formatted already. */
  queueText(text: string): void {
    this.messages.push(text);
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

  /** Sends the queued messages, in more than one frame if they are long. */
  private sendQueued(): void {
    this.isFrameQueued = false;
    const { messages } = this;
    this.messages = [];
    this.lastSentAt = this.options.clock.getNow();
    let first = 0;
    let length = 0;
    messages.forEach((message, index) => {
      length += message.length;
      if (length >= MAX_FRAME_LENGTH || index === messages.length - 1) {
        this.sendFrame(messages.slice(first, index + 1));
        first = index + 1;
        length = 0;
      }
    });
  }

  private sendFrame(messages: readonly string[]): void {
    if (!this.isStopped) {
      this.options.sendFrame(`[${messages.join(',')}]`);
    }
  }
}
