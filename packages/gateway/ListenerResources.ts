/** Resources of a box that its listeners share with everything else in the process. */
export interface ListenerResources {
  /** Memory of the machine, in megabytes. */
  readonly memoryMb: number;
  /** File descriptors that the process may open. */
  readonly maxDescriptors: number;
}
