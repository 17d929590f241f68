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
package org.lupinpaddle.core.view;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.common.StoreKeys;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.instance.InstanceRecord;
import org.lupinpaddle.core.instance.ShardRecord;
import org.lupinpaddle.core.pool.PoolRecord;
import org.lupinpaddle.core.service.ServiceRecord;
import org.lupinpaddle.core.wave.WaveRecord;

/**
 * The configuration as one entry knows it: the last value of each record at one revision of the store. A
 * record is applied only if its revision is higher than that of the held record, and the view's own revision
 * only grows, so the configuration in force never reverts, whatever the source of a batch. A batch contains
 * every record written after some revision up to its own, so the view is always a state that the store once
 * had.
 */
public final class FleetView {

    private final Map<String, StoredRecord> records = new HashMap<>();
    private final SortedMap<String, ServiceRecord> services = new TreeMap<>();
    private final SortedMap<String, PoolRecord> pools = new TreeMap<>();
    private final SortedMap<String, WaveRecord> waves = new TreeMap<>();
    private final Map<String, ShardRecord> shards = new HashMap<>();
    private final SortedMap<String, InstanceRecord> instances = new TreeMap<>();
    private final Map<String, List<InstanceRecord>> byService = new HashMap<>();
    private final List<String> unreadable = new ArrayList<>();
    private long revision;
    private long contentRevision;

    /**
     * Applies a batch that contains every record written after {@code afterRevision} up to {@code toRevision}.
     *
     * @return whether the batch was applied; a batch that would leave a gap is ignored
     */
    public boolean apply(Collection<StoredRecord> batch, long afterRevision, long toRevision) {
        if (afterRevision > revision || toRevision <= revision) {
            return false;
        }
        for (StoredRecord r : batch) {
            StoredRecord held = records.get(r.key());
            if (held == null || r.revision() > held.revision()) {
                applyRecord(r);
            }
        }
        if (!batch.isEmpty()) {
            byService.clear();
        }
        revision = toRevision;
        return true;
    }

    private void applyRecord(StoredRecord r) {
        boolean read =
                (StoreKeys.isService(r.key()) && put(r, ServiceRecord.class, (k, v) -> services.put(v.name(), v)))
                        || (StoreKeys.isPool(r.key()) && put(r, PoolRecord.class, (k, v) -> pools.put(v.name(), v)))
                        || (StoreKeys.isWave(r.key()) && put(r, WaveRecord.class, (k, v) -> waves.put(v.name(), v)))
                        || (StoreKeys.isShard(r.key()) && put(r, ShardRecord.class, this::putShard));
        if (!read) {
            unreadable.add(r.key() + "@" + r.revision());
        }
        records.put(r.key(), r);
        contentRevision = Math.max(contentRevision, r.revision());
    }

    private static <T> boolean put(StoredRecord r, Class<T> type, BiConsumer<String, T> target) {
        Either<Unreadable, T> value = RecordCodec.read(r.value(), type);
        value.forEach(v -> target.accept(r.key(), v));
        return value.isRight();
    }

    private void putShard(String key, ShardRecord shard) {
        ShardRecord old = shards.put(key, shard);
        if (old != null) {
            old.instances().keySet().forEach(instances::remove);
        }
        instances.putAll(shard.instances());
    }

    /** Returns the store revision that this view reflects; 0 before the first batch. */
    public long revision() {
        return revision;
    }

    /** Returns the revision of the newest configuration record in this view. */
    public long contentRevision() {
        return contentRevision;
    }

    /** Returns the records written after {@code afterRevision}, for a peer that has that revision. */
    public List<StoredRecord> recordsAfter(long afterRevision) {
        return records.values().stream()
                .filter(r -> r.revision() > afterRevision)
                .sorted(Comparator.comparingLong(StoredRecord::revision))
                .toList();
    }

    /** Returns the revision of the last write to the key, or 0 if the key is absent. */
    public long revisionOf(String key) {
        StoredRecord r = records.get(key);
        return r == null ? 0 : r.revision();
    }

    /** Returns the text of the record with this key. */
    public Optional<String> text(String key) {
        return Optional.ofNullable(records.get(key)).map(StoredRecord::value);
    }

    /** Returns all services by name. */
    public Map<String, ServiceRecord> services() {
        return services;
    }

    /** Returns all pools by name. */
    public Map<String, PoolRecord> pools() {
        return pools;
    }

    /** Returns all waves by name. */
    public Map<String, WaveRecord> waves() {
        return waves;
    }

    /** Returns all instances by id. */
    public Map<String, InstanceRecord> instances() {
        return instances;
    }

    /** Returns the shard that the instance belongs to, whether or not it is stored yet. */
    public ShardRecord shardOf(String instance) {
        return shards.getOrDefault(StoreKeys.shardOf(instance), ShardRecord.EMPTY);
    }

    /** Returns the service that the instance's pool runs. */
    public Optional<ServiceRecord> serviceOf(InstanceRecord instance) {
        return Optional.ofNullable(pools.get(instance.pool()))
                .map(PoolRecord::service)
                .map(services::get);
    }

    /** Returns the instances whose pool runs the service. */
    public List<InstanceRecord> instancesOf(String service) {
        if (byService.isEmpty()) {
            indexByService();
        }
        return Collections.unmodifiableList(byService.getOrDefault(service, List.of()));
    }

    // Built once per state of the view: scanning the fleet for each service would take quadratic time.
    private void indexByService() {
        for (InstanceRecord i : instances.values()) {
            PoolRecord p = pools.get(i.pool());
            String service = p == null ? null : p.service();
            if (service != null) {
                byService.computeIfAbsent(service, s -> new ArrayList<>()).add(i);
            }
        }
    }

    /** Returns the records that could not be read, for logging, and clears the list. */
    public List<String> drainUnreadable() {
        List<String> all = List.copyOf(unreadable);
        unreadable.clear();
        return all;
    }
}
