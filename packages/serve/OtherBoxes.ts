import { BoxClients } from '../boxes/BoxClients';
import { BoxDirectory } from '../boxes/BoxDirectory';
import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import { startDelay } from '../common/startDelay';
import type { JobCaller } from '../customers/JobCaller';
import type { JobId } from '../jobs/JobId';
import type { JobState } from '../jobs/JobState';
import type { LeaderIntroduction } from '../leadership/LeaderIntroduction';
import type { LeaderRecord } from '../leadership/LeaderRecord';
import type { LogWrite } from '../store/LogWrite';
import type { RecordWriter } from '../store/RecordWriter';
import type { LeaderContact } from './LeaderContact';
import { LeaderAnnouncer } from './LeaderAnnouncer';
import type { ServeSettings } from './ServeSettings';

interface OtherBoxesOptions {
  readonly settings: ServeSettings;
  readonly process: string;
  readonly clock: Clock;
  readonly logger: Logger;
  /** What is known of the leader. */
  readonly getLeader: () => LeaderRecord | undefined;
  /** True while this process leads and is not about to stop. */
  readonly isLeading: () => boolean;
  readonly isStopping: () => boolean;
}

const ANNOUNCE_TIMEOUT_MS = 20_000;
const ANNOUNCE_RETRY_MS = 1000;

/** What this box knows of the other boxes, and what it tells them of itself. */
export class OtherBoxes {
  readonly directory = new BoxDirectory();
  readonly clients: BoxClients;
  private readonly announcer: LeaderAnnouncer;

  constructor(private readonly options: OtherBoxesOptions) {
    const { settings, clock, logger } = options;
    this.clients = new BoxClients(this.directory, settings);
    this.announcer = new LeaderAnnouncer({
      clock,
      logger,
      listOthers: () => this.clients.readOthers(),
      createAnnouncement: () => this.createLeaderAnnouncement(),
    });
  }

  /** The record by which other boxes learn where this one can be called. */
  createAnnouncement(): LogWrite {
    const { settings } = this.options;
    const value = BoxDirectory.formatRecord(settings.internal, settings);
    return { key: BoxDirectory.toKey(settings.box), value };
  }

  /** Writes the announcement until the log has taken it. */
  async writeAnnouncement(writer: RecordWriter): Promise<void> {
    const { clock, isStopping } = this.options;
    const write = this.createAnnouncement();
    while (!isStopping()) {
      const outcome = await writer.writeRecord(write, clock.readNow() + ANNOUNCE_TIMEOUT_MS);
      if (outcome === 'written') {
        return;
      }
      await startDelay(ANNOUNCE_RETRY_MS);
    }
  }

  /** While this box leads, tells the others so. Call it often. */
  handleTick(): void {
    this.announcer.handleTick();
  }

  /** Another box says that it leads: now this one knows where it can be called. */
  applyLeaderAnnouncement({ record, address, cores, linkMbps }: LeaderIntroduction): void {
    this.directory.recordBox(record.box, address, { cores, linkMbps });
  }

  getLeaderContact(): LeaderContact {
    const box = this.options.getLeader()?.box;
    if (box === undefined) {
      return { kind: 'unknown' };
    }
    if (box === this.options.settings.box) {
      return { kind: 'self' };
    }
    const client = this.clients.findClient(box);
    return client === undefined ? { kind: 'noAddress', box } : { kind: 'known', box, client };
  }

  /** Asks the leading box for a job's state; undefined when it gives none in time. */
  async requestJobState(
    id: JobId,
    caller: JobCaller,
    timeoutMs: number,
  ): Promise<JobState | 'absent' | undefined> {
    const contact = this.getLeaderContact();
    return contact.kind === 'known' ? contact.client.requestJobState(id, caller, timeoutMs) : undefined;
  }

  private createLeaderAnnouncement(): LeaderIntroduction | undefined {
    const { settings, process, getLeader, isLeading } = this.options;
    const record = getLeader();
    const isOwn = record?.process === process;
    const { internal, cores, linkMbps } = settings;
    return isOwn && isLeading() ? { record, address: internal, cores, linkMbps } : undefined;
  }
}
