/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.daemon.jobs;

import java.util.Map;
import java.util.function.LongSupplier;
import org.lupinpaddle.core.job.JobSize;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.run.MemoryUse;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.port.CommitResult;
import org.lupinpaddle.daemon.port.StoreItem;

/**
 * Limits what jobs take in the memory of entries. Each entry publishes the size of the jobs that it holds, and no entry
 * accepts a job while all entries together hold as many as fit into one of them: any entry may have to take over the
 * services of all others. The number of tasks in progress is limited for each entry alone, because jobs whose tasks do
 * not exist yet can wait in little memory.
 */
final class JobMemory {

    // Half of the heap is left for connections, buffers, and the records that a new owner reads.
    private static final int HEAP_SHARES = 4;
    // Jobs that are not due may take all but one of this many shares.
    private static final int DUE_SHARES = 4;
    // A smaller change is not worth a write.
    private static final int PUBLISH_STEPS = 32;

    private final PrefixWatch members;
    private final RegistrationWriter writer;
    private final String entry;
    private final LongSupplier lease;
    private final long maxJobBytes;
    private final int maxTasks;
    private volatile MemoryUse use = MemoryUse.NONE;
    private long publishedBytes;
    private long publishedLease;
    private boolean writing;
    private boolean full;

    /**
     * Creates the limits of an entry.
     *
     * @param members follows the member records
     * @param writer writes this entry's records
     * @param lease returns the entry's lease; 0 while it has none
     * @param heapBytes the maximum heap of the entry
     */
    JobMemory(PrefixWatch members, RegistrationWriter writer, String entry, LongSupplier lease, long heapBytes) {
        this.members = members;
        this.writer = writer;
        this.entry = entry;
        this.lease = lease;
        maxJobBytes = heapBytes / HEAP_SHARES;
        maxTasks = (int) Math.min(Integer.MAX_VALUE, heapBytes / HEAP_SHARES / JobSize.BYTES_PER_TASK);
    }

    /** Returns how many tasks each of the services that this entry owns may have in progress. */
    int maxTasksPerService(int ownedServices) {
        return maxTasks / Math.max(1, ownedServices);
    }

    /** Sets what the jobs of this entry take, and publishes it if it has changed enough. */
    void update(MemoryUse current) {
        use = current;
        long bytes = use.jobBytes();
        long known = publishedLease == lease.getAsLong() ? publishedBytes : 0;
        boolean isFull = totalBytes() >= maxJobBytes;
        if (isFull != full) {
            full = isFull;
            Log.warn("job-memory", "full", full, "bytes", totalBytes(), "of", maxJobBytes, "own", bytes);
        }
        if (lease.getAsLong() != 0 && !writing && Math.abs(bytes - known) >= maxJobBytes / PUBLISH_STEPS) {
            publish(bytes);
        }
    }

    private void publish(long bytes) {
        long under = lease.getAsLong();
        writing = true;
        writer.write(Map.of(SchedulerKeys.jobBytes(entry), Long.toString(bytes)), under, outcome -> {
            writing = false;
            if (outcome == CommitResult.Outcome.MADE) {
                publishedBytes = bytes;
                publishedLease = under;
            }
        });
    }

    /** Returns what the jobs of this entry take. */
    MemoryUse use() {
        return use;
    }

    /** Returns the estimated size of the jobs of all entries. */
    long totalBytes() {
        String own = SchedulerKeys.jobBytes(entry);
        return use.jobBytes()
                + members.items().stream()
                        .filter(i -> SchedulerKeys.jobBytesOf(i.key()).isPresent()
                                && !i.key().equals(own))
                        .mapToLong(JobMemory::bytes)
                        .sum();
    }

    /**
     * Returns whether there is room for another job. Some of the room is kept for jobs that are due: the others may wait
     * for days, and no job of any service could be accepted meanwhile.
     */
    boolean hasRoom(boolean isDue) {
        return totalBytes() < (isDue ? maxJobBytes : maxJobBytes / DUE_SHARES * (DUE_SHARES - 1));
    }

    /** Other writers of the store may have written anything; an unreadable size counts as none. */
    private static long bytes(StoreItem i) {
        try {
            return Math.max(0, Long.parseLong(i.value()));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
