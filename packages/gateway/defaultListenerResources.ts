import type { ListenerResources } from './ListenerResources';

/** Resources that are assumed of a box whose settings do not state them. */
export const defaultListenerResources: ListenerResources = { memoryMb: 350, maxDescriptors: 4096 };
