import { z } from 'zod';
import { nameSchema } from '../table/nameSchema';
import { rowSchema } from '../table/rowSchema';
import { teamSchema } from '../table/teamSchema';

const address = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'expected an IP number and a port, for example 10.0.0.1:7000');
const createDurationSchema = (min: number, max: number) => z.int().min(min).max(max);

const entry = z.strictObject({
  box: nameSchema,
  hall: nameSchema,
  /** Address of the HTTP interface for callers. */
  callers: address,
  /** Address of the HTTP interface for operators: table, status and timeline. */
  operators: address,
  /** Address for requests of other entry boxes. */
  peers: address,
});

const timings = z.strictObject({
  heartbeatMs: createDurationSchema(50, 10_000).default(1000),
  leaseMs: createDurationSchema(200, 60_000).default(3000),
  marginMs: createDurationSchema(50, 10_000).default(500),
  suspectMs: createDurationSchema(200, 120_000).default(4000),
  boxListMs: createDurationSchema(50, 60_000).default(2000),
  reportMs: createDurationSchema(50, 60_000).default(1000),
  platformTimeoutMs: createDurationSchema(50, 60_000).default(2000),
  longPollMs: createDurationSchema(0, 60_000).default(2000),
  tablePollMs: createDurationSchema(0, 60_000).default(30_000),
  seatLeaseMs: createDurationSchema(500, 600_000).default(7000),
  stopLimitMs: createDurationSchema(100, 3_600_000).default(120_000),
  standingRenewMs: createDurationSchema(1000, 86_400_000).default(3_600_000),
});

const limits = z.strictObject({
  bodyBytes: z.int().min(1).max(67_108_864).default(1_048_576),
  answerBytes: z.int().min(1).max(67_108_864).default(16_777_216),
  callerConnections: z.int().min(1).max(65_536).default(4096),
  calls: z.int().min(1).max(1_000_000).default(20_000),
  /** Maximum number of connections from one entry box to another for forwarded calls. */
  forwardConnections: z.int().min(1).max(1024).default(64),
  timelineEvents: z.int().min(10).max(1_000_000).default(5000),
  /** Retries allowed per first attempt. */
  retryRatio: z.number().min(0).max(1).default(0.1),
  rememberedAnswers: z.int().min(0).max(100_000).default(2000),
});

/** Schema of the settings file. Unknown keys are rejected. */
export const settingsSchema = z.strictObject({
  cell: nameSchema,
  /** Name of the entry box that this process runs as; `--box` takes precedence. */
  box: nameSchema.optional(),
  platform: address,
  entries: z.array(entry).min(1).max(200),
  logForm: z.enum(['text', 'json']).default('text'),
  timings: timings.prefault({}),
  limits: limits.prefault({}),
  /** Initial table, used while the log of the cell is empty. */
  rows: z.record(nameSchema, rowSchema),
  teams: z.record(nameSchema, teamSchema).default({}),
});
