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
package org.lupinpaddle.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.lupinpaddle.standins.WorkerPlace;
import org.lupinpaddle.standins.WorkerStandIn;

/**
 * Measures what an entry spends on control, at three sizes of each thing that it may grow with, on real
 * processes with the launcher's flags. Prints tables in Markdown; docs/CAPACITY.md works from their slopes.
 * CPU is the process's own time, memory its resident set, both read from the system.
 */
public final class CapacityProbe {

    private static final long WINDOW_SECONDS = 15;
    private static final long WARM_SECONDS = 15;
    private static final double TICKS_PER_SECOND = 100;

    private CapacityProbe() {}

    /** What was read of one entry at one moment. */
    private record Reading(double cpuSeconds, long residentKb, long sentBytes, long platformCalls, long frames) {

        static Reading of(TestFleet fleet, EntryProcess e) throws IOException {
            JsonNode m = fleet.command(e, "metrics").path("data");
            long calls = 0;
            long frames = 0;
            for (var it = m.fields(); it.hasNext(); ) {
                var f = it.next();
                calls += f.getKey().startsWith("platform.calls.") ? f.getValue().asLong() : 0;
                frames += f.getKey().startsWith("peer.sent.frames.")
                        ? f.getValue().asLong()
                        : 0;
            }
            String[] stat = Files.readString(Path.of("/proc", Long.toString(e.pid()), "stat"))
                    .replaceFirst(".*\\) ", "")
                    .split(" ");
            double cpu = (Long.parseLong(stat[11]) + Long.parseLong(stat[12])) / TICKS_PER_SECOND;
            long resident = Files.readAllLines(Path.of("/proc", Long.toString(e.pid()), "status")).stream()
                    .filter(l -> l.startsWith("VmRSS"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")))
                    .sum();
            return new Reading(cpu, resident, m.path("peer.sent.bytes").asLong(), calls, frames);
        }
    }

    /** Prints all tables, or only the last for the argument {@code waves}. */
    public static void main(String[] args) throws Exception {
        System.out.println("| grows | size | CPU, % of a core | resident MB | bytes/s to peers | frames/s | "
                + "platform calls/s |");
        System.out.println("|---|---|---|---|---|---|---|");
        if (args.length == 0) {
            instances();
            entries();
            changes();
            requests();
        }
        waves();
        System.exit(0);
    }

    private static TestFleet fleet(int workers, int entries) throws Exception {
        TestFleet f = new TestFleet(workers, 4);
        f.timing = "heartbeat_millis = 1000\npoll_millis = 2000\nlease_seconds = 10\n";
        for (int i = 0; i < entries; i++) {
            f.startEntry("e" + i, i % 2 == 0 ? "north" : "south", true);
        }
        return f;
    }

    private static void measure(String what, Object size, TestFleet f, EntryProcess e) throws Exception {
        pause(WARM_SECONDS);
        Reading a = Reading.of(f, e);
        pause(WINDOW_SECONDS);
        Reading b = Reading.of(f, e);
        double s = WINDOW_SECONDS;
        System.out.printf(
                Locale.ROOT,
                "| %s | %s | %.2f | %.1f | %.0f | %.1f | %.2f |%n",
                what,
                size,
                100 * (b.cpuSeconds - a.cpuSeconds) / s,
                b.residentKb / 1_024.0,
                (b.sentBytes - a.sentBytes) / s,
                (b.frames - a.frames) / s,
                (b.platformCalls - a.platformCalls) / s);
    }

    private static void pause(long seconds) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end) {
            LockSupport.parkNanos(end - System.nanoTime());
        }
    }

    private static void instances() throws Exception {
        try (TestFleet f = fleet(0, 2)) {
            EntryProcess e = f.entries.get(0);
            f.accepted(e, "pool create spare --site a");
            int made = 0;
            for (int size : new int[] {100, 400, 1_100}) {
                for (; made < size; made++) {
                    f.accepted(
                            e,
                            "instance add i" + made + " --pool spare --hall north --rack r" + made / 4
                                    + " --address 127.1." + made / 250 + "." + made % 250
                                    + ":80 --slots 8 --memory 1000");
                }
                measure("instances", size, f, e);
            }
        }
    }

    private static void entries() throws Exception {
        for (int size : new int[] {2, 5, 9}) {
            try (TestFleet f = fleet(0, size)) {
                measure("entries", size, f, f.entries.get(0));
            }
        }
    }

    private static void changes() throws Exception {
        try (TestFleet f = fleet(0, 3)) {
            EntryProcess e = f.entries.get(1);
            f.accepted(e, "service create s --budget 0 --reserve none");
            for (int perSecond : new int[] {1, 4, 16}) {
                CompletableFuture<Void> load = repeat(
                        perSecond,
                        i -> f.command(e, "service change s --reserve " + (i % 2 == 0 ? "none" : "instance")));
                measure("changes/s, seen by the hall's watcher", perSecond, f, f.entries.get(0));
                load.cancel(false);
            }
        }
    }

    private static void requests() throws Exception {
        try (TestFleet f = fleet(4, 2)) {
            f.configure("clips", 0);
            for (int perSecond : new int[] {20, 60, 180}) {
                CompletableFuture<Void> load = repeat(
                        perSecond, i -> f.sendAsync(f.request(f.entries.get(0), "clips", "x", "Run-Millis", "5")));
                measure("requests/s through this entry", perSecond, f, f.entries.get(0));
                load.cancel(false);
            }
        }
    }

    private static void waves() throws Exception {
        for (int size : new int[] {8, 16, 32}) {
            try (TestFleet f = fleet(0, 1)) {
                for (int i = 0; i < size; i++) {
                    WorkerPlace place = new WorkerPlace("w" + i, "north", "r" + i / 4, 4, 1_000);
                    f.workers.put(place.id(), WorkerStandIn.start(place, f.platform.address()));
                }
                f.configure("clips", 0);
                f.behave("w0", "{\"stayDown\":true}");
                f.accepted(f.entries.get(0), "wave start w --pool clips --order one-at-a-time");
                measure("workers that the driver of a wave watches", size, f, f.entries.get(0));
            }
        }
    }

    private interface Step {
        void run(int number) throws Exception;
    }

    private static CompletableFuture<Void> repeat(int perSecond, Step step) {
        CompletableFuture<Void> over = new CompletableFuture<>();
        Thread t = new Thread(() -> {
            long next = System.nanoTime();
            for (int i = 0; !over.isDone(); i++) {
                try {
                    step.run(i);
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
                next += TimeUnit.SECONDS.toNanos(1) / perSecond;
                LockSupport.parkNanos(Math.max(0, next - System.nanoTime()));
            }
        });
        t.setDaemon(true);
        t.start();
        return over;
    }
}
