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

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures on real processes how long an accepted change takes until it is in force on every entry, with
 * the platform well, slow, and hanging for watches, and what a claim costs a caller. Prints tables in
 * Markdown.
 */
public final class DelayProbe {

    private static final int CHANGES = 30;
    private static final int REQUESTS = 300;

    private DelayProbe() {}

    /** Prints both tables. */
    public static void main(String[] args) throws Exception {
        changes();
        claims();
        System.exit(0);
    }

    private static void changes() throws Exception {
        System.out.println("| platform | changes | ms from accepted to in force on all 5 entries, p50 | p99 | most |");
        System.out.println("|---|---|---|---|---|");
        try (TestFleet f = new TestFleet(0, 1)) {
            f.timing = "";
            for (int i = 0; i < 5; i++) {
                f.startEntry("e" + i, i % 2 == 0 ? "north" : "south", true);
            }
            f.accepted(f.entries.get(0), "service create s --budget 0 --reserve none");
            changes(f, "well", "{}");
            changes(f, "each call takes 500 ms", "{\"delayMillis\":500}");
        }
    }

    private static void changes(TestFleet f, String name, String faults) throws Exception {
        f.platform.setFaults(faults);
        Histogram h = new Histogram(3);
        for (int i = 0; i < CHANGES; i++) {
            String reserve = i % 2 == 0 ? "rack" : "none";
            EntryProcess at = f.entries.get(i % f.entries.size());
            f.accepted(at, "service change s --reserve " + reserve);
            long accepted = System.nanoTime();
            List<CompletableFuture<Void>> all = new ArrayList<>();
            for (EntryProcess e : f.entries) {
                all.add(CompletableFuture.runAsync(() -> Await.until(
                        "in force",
                        20,
                        () -> f.command(e, "service list").toString().contains("reserve " + reserve))));
            }
            for (CompletableFuture<Void> c : all) {
                c.get(30, TimeUnit.SECONDS);
            }
            h.recordValue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - accepted));
        }
        System.out.printf(
                Locale.ROOT,
                "| %s | %d | %d | %d | %d |%n",
                name,
                CHANGES,
                h.getValueAtPercentile(50),
                h.getValueAtPercentile(99),
                h.getMaxValue());
    }

    private static void claims() throws Exception {
        System.out.println("\n| requests | sent one after the other | ms, p50 | p99 | store writes per request |");
        System.out.println("|---|---|---|---|---|");
        try (TestFleet f = new TestFleet(4, 4)) {
            f.timing = "";
            f.startEntry("e0", "north", true);
            f.configure("clips", 0);
            claims(f, "warming up", "w");
            claims(f, "unsafe without a job id: no claim", "");
            claims(f, "unsafe with a job id: claimed", "j");
            claims(f, "unsafe without a job id, again", "");
            claims(f, "unsafe with a job id, again", "k");
        }
    }

    private static void claims(TestFleet f, String name, String job) throws Exception {
        Histogram h = new Histogram(3);
        long before = f.post(f.platform.address(), "/standin/counts", "{}")
                .path("writes")
                .asLong();
        for (int i = 0; i < REQUESTS; i++) {
            String[] headers = job.isEmpty() ? new String[0] : new String[] {"Job-Id", job + i};
            long start = System.nanoTime();
            f.send(f.request(f.entries.get(0), "clips", "x", headers));
            h.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start));
        }
        long writes = f.post(f.platform.address(), "/standin/counts", "{}")
                        .path("writes")
                        .asLong()
                - before;
        System.out.printf(
                Locale.ROOT,
                "| %s | %d | %.2f | %.2f | %.2f |%n",
                name,
                REQUESTS,
                h.getValueAtPercentile(50) / 1_000.0,
                h.getValueAtPercentile(99) / 1_000.0,
                (double) writes / REQUESTS);
    }
}
