"""The routes of a daemon, merged again only where tables changed."""

from fireflylink_core import DocumentKind
from fireflylink_daemon._document_cache import DocumentCache
from fireflylink_decisions.ownership import Routes, merge_tables


class RouteKeeper:
    """Keeps routes in step with the documents held.

    Only tables that changed are merged, because merging every shard delays requests for too long.
    """

    __slots__ = ("_versions", "cache", "routes")

    def __init__(self, cache: DocumentCache) -> None:
        self.cache = cache
        self.routes: Routes = merge_tables(cache.configuration, ())
        self._versions: tuple[tuple[str, int], ...] | None = None

    def refresh(self) -> Routes:
        """Returns the routes for the documents that are held now."""
        cache = self.cache
        configuration_version = cache.version(DocumentKind.CONFIGURATION, "")
        versions = (("", configuration_version), *cache.table_versions())
        if versions != self._versions:
            self._versions = versions
            self._merge()
        return self.routes

    def _merge(self) -> None:
        routes = self.routes.with_configuration(self.cache.configuration)
        for table_id, table in self.cache.tables.items():
            if routes.tables.get(table_id) is not table:
                routes = routes.with_table(table)
        self.routes = routes
