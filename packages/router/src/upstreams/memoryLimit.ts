import * as fs from 'node:fs';
import * as os from 'node:os';
import * as v8 from 'node:v8';

/** File in which the kernel tells the limits of this process. */
const LIMITS_FILE = '/proc/self/limits';
/** Descriptors of a process whose limit cannot be read. */
const USUAL_DESCRIPTORS = 1_024;
/** Share of the descriptors that callers' connections may take; a request needs another one for its upstream. */
const CONNECTION_SHARE = 0.5;
/** Share of the memory that callers' connections may take, and what one takes, in bytes. */
const CONNECTION_MEMORY_SHARE = 0.5;
const CONNECTION_BYTES = 32_768;

/** Returns the memory that this process may use, in bytes: the least of all limits on it. */
export const readMemoryLimit = (settingBytes = Infinity): number => {
  const constrained = process.constrainedMemory();
  return Math.min(
    settingBytes,
    constrained === undefined || constrained === 0 ? Infinity : constrained,
    os.totalmem(),
    v8.getHeapStatistics().heap_size_limit,
  );
};

/** Returns the number of descriptors that this process may open. */
export const readDescriptorLimit = (file = LIMITS_FILE): number => {
  try {
    const found = /^Max open files\s+(\d+)/m.exec(fs.readFileSync(file, 'utf8'));
    return found === null ? USUAL_DESCRIPTORS : Number(found[1]);
  } catch {
    // Other systems have no such file.
    return USUAL_DESCRIPTORS;
  }
};

/** Computes how many connections of callers may be open. */
export const computeMaxConnections = (descriptors: number, memoryBytes: number): number =>
  Math.max(
    1,
    Math.floor(
      Math.min(
        descriptors * CONNECTION_SHARE,
        (memoryBytes * CONNECTION_MEMORY_SHARE) / CONNECTION_BYTES,
      ),
    ),
  );
