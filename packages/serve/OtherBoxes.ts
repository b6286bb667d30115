import { BoxClients } from '../boxes/BoxClients';
import { BoxDirectory } from '../boxes/BoxDirectory';
import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import { waitForDelay } from '../common/waitForDelay';
import type { JobCaller } from '../customers/JobCaller';
import type { JobId } from '../jobs/JobId';
import type { JobState } from '../jobs/JobState';
import type { LeaderAnnouncement } from '../leadership/LeaderAnnouncement';
import type { LeaderRecord } from '../leadership/LeaderRecord';
import type { LogWrite } from '../store/LogWrite';
import type { RecordWriter } from '../store/RecordWriter';
import type { LeaderContact } from './LeaderContact';
import { LeaderIntroducer } from './LeaderIntroducer';
import type { ServeSettings } from './ServeSettings';

interface OtherBoxesOptions {
  readonly settings: ServeSettings;
  readonly process: string;
  readonly clock: Clock;
  readonly logger: Logger;
  /** What is known of the leader. */
  readonly readLeader: () => LeaderRecord | undefined;
  /** True while this process leads and is not about to stop. */
  readonly isLeading: () => boolean;
  readonly isStopping: () => boolean;
}

const ANNOUNCE_LIMIT_MS = 20_000;
const ANNOUNCE_AGAIN_MS = 1000;

/** What this box knows of the other boxes, and what it tells them of itself. */
export class OtherBoxes {
  readonly directory = new BoxDirectory();
  readonly clients: BoxClients;
  private readonly introducer: LeaderIntroducer;

  constructor(private readonly options: OtherBoxesOptions) {
    const { settings, clock, logger } = options;
    this.clients = new BoxClients(this.directory, settings);
    this.introducer = new LeaderIntroducer({
      clock,
      logger,
      readOthers: () => this.clients.readOthers(),
      readIntroduction: () => this.readIntroduction(),
    });
  }

  /** The record by which other boxes learn where this one can be called. */
  createAnnouncement(): LogWrite {
    const { settings } = this.options;
    const value = BoxDirectory.formatRecord(settings.internal, settings);
    return { key: BoxDirectory.toKey(settings.box), value };
  }

  /** Writes the announcement until the log has taken it. */
  async startAnnouncing(writer: RecordWriter): Promise<void> {
    const { clock, isStopping } = this.options;
    const write = this.createAnnouncement();
    while (!isStopping()) {
      const outcome = await writer.writeRecord(write, clock.getNow() + ANNOUNCE_LIMIT_MS);
      if (outcome === 'written') {
        return;
      }
      await waitForDelay(ANNOUNCE_AGAIN_MS);
    }
  }

  /** While this box leads, tells the others so. Call it often. */
  applyTime(): void {
    this.introducer.applyTime();
  }

  /** Another box says that it leads: now this one knows where it can be called. */
  recordIntroduction({ record, address, cores, linkMbps }: LeaderAnnouncement): void {
    this.directory.recordBox(record.box, address, { cores, linkMbps });
  }

  readLeaderContact(): LeaderContact {
    const box = this.options.readLeader()?.box;
    if (box === undefined) {
      return { kind: 'unknown' };
    }
    if (box === this.options.settings.box) {
      return { kind: 'self' };
    }
    const client = this.clients.readClientOf(box);
    return client === undefined ? { kind: 'noAddress', box } : { kind: 'known', box, client };
  }

  /** Asks the leading box for a job's state; undefined when it gives none in time. */
  async startAskingLeader(
    id: JobId,
    caller: JobCaller,
    timeoutMs: number,
  ): Promise<JobState | 'absent' | undefined> {
    const contact = this.readLeaderContact();
    return contact.kind === 'known' ? contact.client.sendStateQuestion(id, caller, timeoutMs) : undefined;
  }

  private readIntroduction(): LeaderAnnouncement | undefined {
    const { settings, process, readLeader, isLeading } = this.options;
    const record = readLeader();
    const isOwn = record?.process === process;
    const { internal, cores, linkMbps } = settings;
    return isOwn && isLeading() ? { record, address: internal, cores, linkMbps } : undefined;
  }
}
