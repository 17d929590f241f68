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
package org.lupinpaddle.core.wave;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import org.lupinpaddle.core.common.StoreKeys;
import org.lupinpaddle.core.instance.InstanceRecord;
import org.lupinpaddle.core.instance.ShardRecord;
import org.lupinpaddle.core.pool.PoolRecord;
import org.lupinpaddle.core.service.Reserve;
import org.lupinpaddle.core.service.ServiceRecord;
import org.lupinpaddle.core.view.FleetView;

/** Measures the duration of one decision pass of a wave's driver over a whole fleet, for three fleet sizes. */
public final class StepTimingExperiment {

    private static final int POOL_SIZE = 8;
    private static final int STEPS = 300;

    private StepTimingExperiment() {}

    /** Prints the results as a table. */
    public static void main(String[] args) {
        System.out.println(
                "| instances in the wave | pools | ms a look, mean of " + STEPS + " | largest shard, bytes |");
        System.out.println("|---|---|---|---|");
        for (int size : new int[] {100, 400, 1_100}) {
            printRow(size);
        }
    }

    private static void printRow(int size) {
        FakeStore store = new FakeStore();
        List<WaveTarget> targets = new ArrayList<>();
        TreeMap<String, ShardRecord> shards = new TreeMap<>();
        TreeMap<String, ServiceRecord> services = new TreeMap<>();
        FakeDriver driver = new FakeDriver();
        for (int i = 0; i < size; i++) {
            String pool = "pool" + i / POOL_SIZE;
            String id = "instance" + i;
            InstanceRecord r = InstanceRecord.builder(id)
                    .pool(pool)
                    .location("north", "rack" + i / 4)
                    .address("10.0.0.1:8000")
                    .size(8, 32_768)
                    .build();
            shards.merge(StoreKeys.shardOf(id), ShardRecord.EMPTY.with(r, "w"), (a, b) -> a.with(r, "w"));
            ServiceRecord s = services.getOrDefault(pool, ServiceRecord.create(pool, 6, Reserve.INSTANCE, "t", "w"));
            services.put(pool, s.withMember(id, "w"));
            targets.add(new WaveTarget(id, null));
            driver.probe(new FakeWorker(id), 1);
        }
        shards.forEach(store::put);
        services.forEach((name, s) -> {
            store.put(StoreKeys.service(name), s);
            store.put(StoreKeys.pool(name), new PoolRecord(name, name, "a", false, "t", "w"));
        });
        WaveScope all = new WaveScope(null, "north", null);
        store.put(
                StoreKeys.wave("w"),
                new WaveRecord("w", WaveKind.REBOOT, all, targets, WaveOrder.WIDE, WaveState.RUNNING, "", "t", "w"));
        FleetView view = store.view();
        int[] ids = {0};
        meanMillis(view, driver, ids);
        double millis = meanMillis(view, driver, ids);
        int largest = shards.keySet().stream()
                .mapToInt(k -> view.text(k).orElse("").length())
                .max()
                .orElse(0);
        System.out.printf(Locale.ROOT, "| %d | %d | %.3f | %d |%n", size, services.size(), millis, largest);
    }

    private static double meanMillis(FleetView view, FakeDriver driver, int[] ids) {
        long start = System.nanoTime();
        for (int i = 0; i < STEPS; i++) {
            WaveStepper.step(view, "w", driver, () -> "w" + ++ids[0]);
        }
        return (System.nanoTime() - start) / 1e6 / STEPS;
    }
}
